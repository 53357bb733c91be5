package platform

// Stats holds the stand-in's request counters.
type Stats struct {
	// Reads and Writes count admitted requests; a commit of several rows is one write.
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// RowsWritten counts the rows written by commits.
	RowsWritten int `json:"rows"`
	// Conflicts counts commits rejected because of a row's version.
	Conflicts int `json:"conflicts"`
	// Throttled counts requests rejected by the rate limits.
	Throttled int `json:"throttled"`
	// DroppedResponses counts writes whose response was dropped by Knobs.DropResponses.
	DroppedResponses int `json:"lost"`
}
