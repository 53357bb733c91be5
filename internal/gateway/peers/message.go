package peers

// message is one datagram. The keys are small numbers, since it is sent ten
// times a second to every other gateway.
type message struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender's name, Boot its start: the counts of an earlier
	// start are void, and Sequence orders those of one.
	From     string
	Boot     uint64
	Sequence uint64
	// Stamp is the sender's clock; Echo is the last stamp that it had from
	// the receiver, and EchoBoot the receiver's start then: a VM's clock
	// begins anew when the VM does. Both are 0 when there was none.
	Stamp    uint64
	Echo     uint64
	EchoBoot uint64
	// Version is the desired state in force at the sender, and ProofAge how
	// old its proof is that there is no newer one, in milliseconds.
	Version  uint64
	ProofAge uint64
	// Loads is what the sender has at backend servers; others have nothing.
	Loads []load
}

// load is what a gateway has at one backend server.
type load struct {
	_ struct{} `cbor:",toarray"`
	// Server is the hash of the server's id.
	Server  uint32
	Running uint32
	Pending uint32
	Tokens  uint32
}
