package usage

// Source is a start of a gateway's process.
type Source struct {
	_       struct{} `cbor:",toarray"`
	Gateway string
	Start   uint64
}

// Count is how many requests began for a customer in a window.
type Count struct {
	_        struct{} `cbor:",toarray"`
	Window   uint64
	Customer string
	Requests int64
}

// Update is a delta of a gateway's counts: those that changed since the last change that
// the receiver acknowledged.
type Update struct {
	// Sequence is that of the last change in this update or before it.
	Sequence uint64 `cbor:"1,keyasint,omitempty"`
	// Upto is the Unix millisecond, in true time, up to which the counts are complete once
	// the update is merged; 0 if the update was truncated.
	CompleteUntil int64   `cbor:"2,keyasint,omitempty"`
	Counts        []Count `cbor:"3,keyasint,omitempty"`
}
