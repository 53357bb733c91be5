package wire

// FrameKind says what a frame of an answer's stream carries.
type FrameKind uint8

// Kinds of frames. A stream without FrameEnd or FrameFail is not whole.
const (
	// FrameData carries a piece of the answer.
	FrameData FrameKind = iota + 1
	// FrameHeartbeat shows that a silent stream is alive.
	FrameHeartbeat
	// FrameEnd ends a whole answer.
	FrameEnd
	// FrameFail ends a stream that failed; Fail says how.
	FrameFail
	// FrameHead carries a plain service's status and headers.
	FrameHead
)

// FailKind says what a failed run means for the request.
type FailKind string

// Kinds of failure.
const (
	// FailNotRun: it certainly did not run.
	FailNotRun FailKind = "not_run"
	// FailRejected: the backend server refused it; it did not run.
	FailRejected FailKind = "rejected"
	// FailCut: it ran and was cut off.
	FailCut FailKind = "cut"
	// FailPreempted: it ran and was stopped in favour of urgent work; nothing
	// is wrong with the backend server.
	FailPreempted FailKind = "preempted"
	// FailUnknown: it may have run.
	FailUnknown FailKind = "unknown"
)

// Frame is one frame of an answer on its way from agent to entry.
type Frame struct {
	Kind FrameKind `cbor:"1,keyasint"`
	// Data is a chat.completion.chunk, a plain service's bytes, or the
	// backend server's error body.
	Data []byte `cbor:"2,keyasint,omitempty"`
	// Tokens is how many tokens Data carries.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// Fail is set with FrameFail.
	Fail FailKind `cbor:"4,keyasint,omitempty"`
	// Status and Header are a backend server's, with FrameHead or FrameFail.
	Status int      `cbor:"5,keyasint,omitempty"`
	Header []Header `cbor:"6,keyasint,omitempty"`
}

// Header is one HTTP header line of a plain service's answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}
