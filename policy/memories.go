package policy

import "time"

const (
	// tellAgain is after what time senders tell each other again that a server
	// was sent a part: often enough that all drop the same ones.
	tellAgain = time.Second
	// mostTold bounds what waits to be told.
	mostTold = 256
)

// Memories foretells what the servers of all services keep of shared parts of
// prompts. It goes by what was sent to them, by this sender and by others as
// they tell, not by the servers' own reports, which are late and have gaps.
//
// It answers prompts that share long beginnings: a part that is read where it
// is kept already costs nothing, and one that most requests share gets as many
// servers as it needs, since each server that was sent it once is known to
// keep it.
//
// Not safe for concurrent use.
type Memories struct {
	servers map[uint32]*serverMemory
	news    []KeptRead
}

// NewMemories returns a Memories that knows of nothing kept.
func NewMemories() *Memories { return &Memories{servers: map[uint32]*serverMemory{}} }

// Sent notes that a prompt with these shared parts was sent to a server, which
// has a memory of so many tokens; 0 when that isn't known.
func (m *Memories) Sent(now time.Time, server uint32, parts []Part, memory int) {
	for _, p := range parts {
		kept := m.read(server, p, memory)
		if now.Sub(kept.told) < tellAgain || len(m.news) >= mostTold {
			continue
		}
		kept.told = now
		m.news = append(m.news, KeptRead{Server: server, Part: p.ID, Tokens: p.Tokens})
	}
}

// Heard takes what another sender told.
func (m *Memories) Heard(now time.Time, reads []KeptRead, memory func(server uint32) int) {
	for _, r := range reads {
		m.read(r.Server, Part{ID: r.Part, Tokens: r.Tokens}, memory(r.Server)).told = now
	}
}

// News returns what is to be told to the other senders, once.
func (m *Memories) News() []KeptRead {
	news := m.news
	m.news = nil
	return news
}

// Forget drops what is known of a server that left.
func (m *Memories) Forget(server uint32) { delete(m.servers, server) }

func (m *Memories) read(server uint32, part Part, memory int) *keptPart {
	if memory <= 0 {
		memory = unknownMemory
	}
	s := m.servers[server]
	if s == nil {
		s = newServerMemory()
		m.servers[server] = s
	}
	return s.read(part, int(memoryShare*float64(memory)))
}

func (m *Memories) missing(server uint32, parts []Part) int {
	return m.servers[server].missing(parts)
}
