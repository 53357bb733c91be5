package plain

// Knobs holds the faults that a test can change while the stand-in runs.
type Knobs struct {
	// SlowMS delays each response by this many milliseconds, after the call
	// was executed.
	SlowMS int `json:"slow_ms"`
	// FailStatus, if not 0, is the status with which every call fails without
	// being executed.
	FailStatus int `json:"fail_status"`
	// DropResponses is the number of upcoming calls that are executed but whose
	// connection is closed without a response.
	DropResponses int `json:"cut_answers"`
}
