package platform

// Knobs holds the faults and limits that a test can change while the stand-in runs.
type Knobs struct {
	// Down makes every request fail with status 503.
	Down bool `json:"down"`
	// ListDown makes reads of the VM list fail with status 503.
	ListDown bool `json:"list_down"`
	// SlowMS delays every request by this many milliseconds before it takes
	// effect, even if the HTTP client has disconnected by then.
	SlowMS int `json:"slow_ms"`
	// DropResponses is the number of upcoming writes that take effect but whose
	// connection is closed without a response.
	DropResponses int `json:"lose_answers"`
	// ListLagMS is the delay in milliseconds before readers see a change of the
	// VM list.
	ListLagMS int `json:"list_lag_ms"`
	// WritesPerSecond and ReadsPerSecond are rate limits; requests above them
	// fail with status 503.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}
