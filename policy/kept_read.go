package policy

// KeptRead is that a server was sent a part of a prompt to read: what senders
// tell each other of servers' memories.
type KeptRead struct {
	// Server is the Key of a Server.
	Server uint32
	Part   uint64
	Tokens int
}
