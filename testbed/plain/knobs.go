package plain

// Knobs are the faults that a test turns on while the stand-in runs.
type Knobs struct {
	// SlowMS delays each answer by this many milliseconds, after the call
	// has taken effect.
	SlowMS int `json:"slow_ms"`
	// FailStatus, when set, answers each call with this status before it
	// takes effect.
	FailStatus int `json:"fail_status"`
	// CutAnswers is how many of the next calls take effect while their
	// connection is cut without an answer.
	CutAnswers int `json:"cut_answers"`
}
