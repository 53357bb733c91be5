package wire

// FrameKind is the type of a frame in a response stream.
type FrameKind uint8

// Frame kinds. A stream without FrameEnd or FrameFail is incomplete.
const (
	// FrameData carries a part of the response.
	FrameData FrameKind = iota + 1
	// FrameHeartbeat shows that a stream without data is alive.
	FrameHeartbeat
	// FrameEnd marks the end of a complete response.
	FrameEnd
	// FrameFail ends a failed stream; Fail holds the kind of failure.
	FrameFail
	// FrameHeaders carries the status and headers of a plain service's response.
	FrameHeaders
)

// FailKind tells whether a failed run was executed.
type FailKind string

// Failure kinds.
const (
	// FailNotRun: the run was certainly not executed.
	FailNotRun FailKind = "not_run"
	// FailRejected: the backend server rejected the run; it was not executed.
	FailRejected FailKind = "rejected"
	// FailInterrupted: the run started and was interrupted.
	FailInterrupted FailKind = "cut"
	// FailPreempted: the run started and was stopped in favor of urgent work.
	// It doesn't indicate a fault of the backend server.
	FailPreempted FailKind = "preempted"
	// FailOtherVersion: the engine's software version isn't the one that began the
	// stream; nothing of the run was delivered.
	FailOtherVersion FailKind = "other_version"
	// FailUnknown: the run may have been executed.
	FailUnknown FailKind = "unknown"
)

// Frame is one frame of a response stream from an agent to an entry.
type Frame struct {
	Kind FrameKind `cbor:"1,keyasint"`
	// Data is a chat.completion.chunk, a part of a plain service's response body, or
	// the backend server's error body.
	Data []byte `cbor:"2,keyasint,omitempty"`
	// Tokens is the number of tokens in Data.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// Uncounted is set if Data holds output that Tokens doesn't count.
	Uncounted bool `cbor:"8,keyasint,omitempty"`
	// Fail is the kind of failure, with FrameFail.
	Fail FailKind `cbor:"4,keyasint,omitempty"`
	// Status and Header are those of the backend server's response, with FrameHeaders
	// or FrameFail.
	Status int      `cbor:"5,keyasint,omitempty"`
	Header []Header `cbor:"6,keyasint,omitempty"`
	// SoftwareVersion is the engine's software version, in the first FrameData of a run;
	// empty if the engine reports none.
	SoftwareVersion string `cbor:"7,keyasint,omitempty"`
}

// Header is one HTTP header field of a plain service's request or response.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}
