package policy

import (
	"container/list"
	"time"
)

const (
	// memoryShare is the part of a server's memory that shared parts are
	// expected to find: what runs takes the rest, and a server drops what was
	// used least lately.
	memoryShare = 0.5
	// unknownMemory is the size in tokens of a server's memory that isn't
	// known.
	unknownMemory = 200_000
	// mostParts bounds the parts that are kept track of for one server.
	mostParts = 1024
)

// serverMemory foretells which shared parts a server keeps: those that were
// read last, as far as its memory goes.
type serverMemory struct {
	parts map[uint64]*list.Element
	// order holds the *keptPart, the one used last in front.
	order *list.List
	used  int
}

// keptPart is a part in a server's memory.
type keptPart struct {
	Part
	// told is when senders last told each other of it.
	told time.Time
}

func newServerMemory() *serverMemory {
	return &serverMemory{parts: map[uint64]*list.Element{}, order: list.New()}
}

// read notes that the server reads a part, or uses it again.
func (m *serverMemory) read(part Part, size int) *keptPart {
	if at := m.parts[part.ID]; at != nil {
		m.order.MoveToFront(at)
		return at.Value.(*keptPart)
	}
	kept := &keptPart{Part: part}
	m.parts[part.ID] = m.order.PushFront(kept)
	m.used += part.Tokens
	for m.used > size && m.order.Len() > 1 || m.order.Len() > mostParts {
		m.drop(m.order.Back())
	}
	return kept
}

func (m *serverMemory) drop(at *list.Element) {
	kept := m.order.Remove(at).(*keptPart)
	delete(m.parts, kept.ID)
	m.used -= kept.Tokens
}

// missing is how many tokens of a prompt's shared parts the server would have
// to read: from the first one that it doesn't keep.
func (m *serverMemory) missing(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if tokens > 0 || m == nil || m.parts[p.ID] == nil {
			tokens += p.Tokens
		}
	}
	return tokens
}
