package policy

// UrgencyLevels is how many levels of urgency servers tell apart; 0 is the most
// urgent.
const UrgencyLevels = 10

// Ahead is what waits at a server for its first token, by urgency.
type Ahead [UrgencyLevels]struct {
	// Requests counts them, Tokens is what they have to have read.
	Requests int
	Tokens   int
}

// Server is a backend server as a sender sees it that sends straight to it. The
// counts are of all senders as far as this one knows: its own are exact, those
// of others a moment old.
type Server struct {
	// Name identifies the server, and Start one start of it; Zone is its availability
	// zone.
	Name  string
	Start Key
	Zone  string
	// Slots is how many requests it runs at once; 0 when that isn't known.
	Slots int
	// Conns is how many connections it accepts from all senders; 0 when that
	// isn't known.
	Conns int
	// Running counts requests that have begun to answer.
	Running int
	// Pending is what hasn't begun yet.
	Pending Ahead
	// Leaving servers take no new work.
	Leaving bool
	// Warming servers have just started and are slow for a while.
	Warming bool
	// Unresponsive servers answer nobody.
	Unresponsive bool
	// Limited servers have named a limit, of which Allowance is what is left; a request
	// that is Beyond it isn't sent.
	Limited   bool
	Allowance Allowance
	Beyond    bool
	// LatePause is by how much the chance that the job's stream has a longer pause
	// between events than its target is higher there than at the mean server.
	LatePause float64
}

// inFlight counts all requests at the server.
func (s *Server) inFlight() int {
	n := s.Running
	for _, level := range s.Pending {
		n += level.Requests
	}
	return n
}

// SlotsInUse is the part of all servers' slots that is in use; 0 where they have
// none that are known. Slots that a server's limit leaves unused count as in use.
func SlotsInUse(servers []Server) float64 {
	used, slots := 0.0, 0
	for i := range servers {
		s := &servers[i]
		if s.Slots == 0 {
			continue
		}
		slots += s.Slots
		busy := float64(s.inFlight())
		if s.Limited {
			busy = max(busy, float64(s.Slots)*(1-max(s.Allowance.Left, 0)/s.Allowance.Size))
		}
		used += busy
	}
	return used / float64(max(slots, 1))
}

// ahead is what is read at the server before a new request of an urgency, in
// tokens: a server admits the more urgent first, and equals in turn.
func (s *Server) ahead(urgency int) float64 {
	tokens := 0
	for _, level := range s.Pending[:urgency+1] {
		tokens += level.Tokens + level.Requests*minPendingTokens
	}
	if s.Warming {
		tokens += warmupTokens
	}
	return float64(tokens)
}
