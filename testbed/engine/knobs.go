package engine

// Knobs are the faults that a test turns on while the stand-in runs.
type Knobs struct {
	// Slow multiplies all times; 0 and 1 are full speed.
	Slow float64 `json:"slow"`
	// Frozen holds every stream and call, as a stopped process would.
	Frozen bool `json:"frozen"`
	// CrashAfterTokens crashes the engine after so many more tokens, of all
	// streams together; 0 is off.
	CrashAfterTokens int `json:"crash_after_tokens"`
	// Crashed cuts all streams and refuses calls until it is false again.
	Crashed bool `json:"crashed"`
	// Exit makes a crash end the process.
	Exit bool `json:"exit"`
	// StallStreams is how many of the next streams fall silent for good
	// after StallAfter tokens.
	StallStreams int `json:"stall_streams"`
	StallAfter   int `json:"stall_after"`
	// CutStreams is how many of the next streams are cut after CutAfter
	// tokens; past the end of an answer the cut is just before the end mark.
	CutStreams int `json:"cut_streams"`
	CutAfter   int `json:"cut_after"`
	// Foreign is how many streams of others take capacity.
	Foreign int `json:"foreign"`
	// IgnoreFences makes the engine take orders with an old fencing number.
	IgnoreFences bool `json:"ignore_fences"`
	// RejectStatus, when set, refuses each run with this status.
	RejectStatus int `json:"reject_status"`
}

// slowFactor is how much longer everything takes.
func (k Knobs) slowFactor() float64 {
	if k.Slow <= 0 {
		return 1
	}
	return k.Slow
}
