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

// sharesTime reports whether a request takes its chance of the time that the
// servers in time have left together. It answers a service that is nearly
// saturated: the one server that is still in time is so for all senders, and each
// would send there until it hears of the others' requests, which then wait for
// seconds. Of what others are expected to send meanwhile, beyond what the servers
// read in that time, as much finds room as there are tokens to spare.
//
// Soon counts the servers that are in time, whether they have a slot or not: what
// lacks where slots do isn't time.
func (c *Chooser) sharesTime(job *Job, best *Choice, rate *ReadingRate, soon int) bool {
	if job.Target == 0 || job.UnseenTokens == 0 {
		return true
	}
	unseen := job.UnseenTokens/float64(soon) - rate.during(job.NewsAge)
	own := float64(best.Reading)
	spare := rate.within(job.Target, own) - (best.Ahead - own)
	return spare >= unseen || c.random.Float64() < spare/unseen
}
