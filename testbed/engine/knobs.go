package engine

// Knobs are the faults that a test injects while the server runs. The zero value
// injects none.
type Knobs struct {
	// Slowdown multiplies all delays; 0 and 1 are full speed.
	Slowdown float64 `json:"slow"`
	// Frozen blocks all streams and calls, as if the process were stopped.
	Frozen bool `json:"frozen"`
	// CrashAfterTokens crashes the engine after this many further tokens of
	// all streams together; 0 disables it.
	CrashAfterTokens int `json:"crash_after_tokens"`
	// Crashed cuts all streams and aborts the connections of calls until it
	// is false again.
	Crashed bool `json:"crashed"`
	// Exit makes a crash end the process.
	Exit bool `json:"exit"`
	// StallStreams is the number of next streams that stop sending, without
	// closing, after StallAfter tokens.
	StallStreams int `json:"stall_streams"`
	StallAfter   int `json:"stall_after"`
	// CutStreams is the number of next streams that are cut after CutAfter
	// tokens. If the response is shorter, the cut is just before [DONE].
	CutStreams int `json:"cut_streams"`
	CutAfter   int `json:"cut_after"`
	// ExternalStreams is the number of simulated streams of other routers
	// that use capacity.
	ExternalStreams int `json:"foreign"`
	// IgnoreFencingTokens makes the engine execute orders with a stale
	// fencing token.
	IgnoreFencingTokens bool `json:"ignore_fences"`
	// RejectStatus, when not 0, is the HTTP status with which every run is
	// rejected.
	RejectStatus int `json:"reject_status"`
}

// delayFactor returns the factor by which delays are multiplied.
func (k Knobs) delayFactor() float64 {
	if k.Slowdown <= 0 {
		return 1
	}
	return k.Slowdown
}
