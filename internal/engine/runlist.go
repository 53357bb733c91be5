package engine

// RunList is an engine's answer to which runs it has.
type RunList struct {
	// Runs are the runs' ids, of those that wait in the engine as well.
	Runs []string `json:"runs"`
}
