package policy

// Part is one part of a prompt that other requests share.
type Part struct {
	// ID names the part's content; the parts before it belong to it, since a
	// server keeps a part only with all before it.
	ID     uint64
	Tokens int
}
