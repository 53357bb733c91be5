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

// Update is what a gateway tells of its counts: those that have changed since the receiver
// acknowledged the last ones.
type Update struct {
	_ struct{} `cbor:",toarray"`
	// Sequence numbers the last change that is told, or was told before.
	Sequence uint64
	// Upto is the Unix millisecond, in true time, up to which the counts are complete once
	// the update is taken; 0 where it tells only a part.
	Upto   int64
	Counts []Count
}
