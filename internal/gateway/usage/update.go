package usage

// Source identifies an instance of a gateway: one run of its process.
type Source struct {
	_       struct{} `cbor:",toarray"`
	Gateway string
	BootID  uint64
}

// Count is the number of requests that started for a customer in a window.
type Count struct {
	_        struct{} `cbor:",toarray"`
	Window   uint64
	Customer string
	Requests int64
}

// Update holds the counts of a gateway that changed after the last change that the receiver
// acknowledged.
type Update struct {
	// Sequence is the sequence number of the last change that this update and those before it
	// cover.
	Sequence uint64 `cbor:"1,keyasint,omitempty"`
	// CompleteUntil is the time, in Unix milliseconds of the gateways' common time of day, up to
	// which the receiver's counts are complete once the update is merged; 0 if the update was
	// truncated.
	CompleteUntil int64   `cbor:"2,keyasint,omitempty"`
	Counts        []Count `cbor:"3,keyasint,omitempty"`
}
