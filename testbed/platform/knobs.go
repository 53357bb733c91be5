package platform

// Knobs are the faults that a test turns on while the stand-in runs.
type Knobs struct {
	// Down answers every call with "service unavailable".
	Down bool `json:"down"`
	// ListDown does so for the VM list only.
	ListDown bool `json:"list_down"`
	// SlowMS delays every call by this many milliseconds before it takes
	// effect, also when its client has given up by then.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is how many of the next writes take effect while their
	// connection is cut without an answer.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMS is how many milliseconds pass before a change of the VM list
	// is seen.
	ListLagMS int `json:"list_lag_ms"`
	// WritesPerSecond and ReadsPerSecond bound the calls taken; calls above
	// them are answered with "service unavailable".
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}
