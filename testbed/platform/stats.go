package platform

// Stats counts the calls that the stand-in has taken.
type Stats struct {
	// Reads and Writes count calls; a commit of several rows is one write.
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Rows counts the rows that commits have written.
	Rows int `json:"rows"`
	// Conflicts counts commits that were refused for a row's version.
	Conflicts int `json:"conflicts"`
	// Throttled counts calls above the limits.
	Throttled int `json:"throttled"`
	// Lost counts writes whose answer was lost on purpose.
	Lost int `json:"lost"`
}
