package engine

// RunList is an engine's response to a request for its runs.
type RunList struct {
	// Runs holds the IDs of all runs, including those that wait in the engine.
	Runs []string `json:"runs"`
}
