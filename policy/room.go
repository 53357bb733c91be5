package policy

import "math"

const (
	// fullSlots is the part of a server's slots that the most urgent requests
	// fill, and slotsPerLevel what each level less urgent leaves free for
	// those above. A server that is full puts back what runs for what is more
	// urgent; the part that is left covers what other senders send in the
	// tenth of a second before they tell. Measured on a day of bursts before 31
	// senders and 56 servers: 0.95 put back some 100 requests, 0.88 some 20, at
	// a loss of a hundredth of what is served.
	fullSlots     = 0.88
	slotsPerLevel = 0.02
	// usedConns is the part of a server's connections that requests may take;
	// idle ones and those of senders that haven't told yet take the rest.
	usedConns = 0.7
)

// hasRoom reports whether a server takes one more request. A model's server has
// slots; a plain service queues shortly and says itself when it is full, but
// resets connections beyond those that it accepts, and then nobody can say what
// became of their requests.
//
// Where other senders are expected to have sent more, since they told last, than
// the server has slots left, a request finds room there with the chance that a
// slot is left for it. It answers servers that are nearly full: of the few with
// a slot left, each sender sees the same one, and all of them send there.
func (c *Chooser) hasRoom(s *Server, job Job, unseen float64) bool {
	if s.Conns > 0 && float64(s.inFlight()) >= usedConns*float64(s.Conns) {
		return false
	}
	left := s.slotsLeft(job)
	return left > 0 && (left >= unseen || c.random.Float64() < left/unseen)
}

// slotsLeft is how many slots a request may still take; more than there are
// requests where that isn't bounded.
func (s *Server) slotsLeft(job Job) float64 {
	if job.Tokens == 0 || s.Slots == 0 {
		return math.Inf(1)
	}
	share := fullSlots - slotsPerLevel*float64(job.Urgency) - job.Yield
	return share*float64(s.Slots) - float64(s.inFlight())
}

// unseenAtEach is how many requests other senders are expected to have sent to
// each server that has a slot left.
func (j *Job) unseenAtEach(servers []Server, usable func(*Server) bool) float64 {
	roomy := 0
	for i := range servers {
		if usable(&servers[i]) && servers[i].slotsLeft(*j) > 0 {
			roomy++
		}
	}
	return j.Unseen / float64(max(roomy, 1))
}
