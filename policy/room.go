package policy

import "math"

const (
	// fullSlots is the part of a server's slots that the most urgent requests
	// fill, and slotsPerLevel what each level less urgent leaves free for
	// those above. A server that is full puts back what runs for what is more
	// urgent. What other senders send before they tell needs no part of its own: a
	// chance for the last slots counts it (shareSlots).
	fullSlots     = 1.0
	slotsPerLevel = 0.02
	// usedConns is the part of a server's connections that requests may take;
	// idle ones and those of senders that haven't told yet take the rest.
	usedConns = 0.7
)

// outOfConns reports whether a server may reset one more connection. A model's
// server has slots; a plain service queues shortly and says itself when it is
// full, but resets connections beyond those that it accepts, and then nobody can
// say what became of their requests.
func (s *Server) outOfConns() bool {
	return s.Conns > 0 && float64(s.inFlight()) >= usedConns*float64(s.Conns)
}

// shareSlots leaves of the servers that have a slot left those at which the
// request finds it, where other senders are expected to have sent so many since
// they told last. A request finds a slot at a server with the chance that one is
// left for it. It answers servers that are nearly full: of the few with a slot
// left, each sender sees the same ones, and all of them send there.
//
// Where fewer slots are left in all than others have sent, the request takes one
// chance, of all slots, and with it one server, by what is left there. A chance
// at each server would add up: of seven servers that have two slots left each and
// get thirteen requests, two of three requests would find one of them, and the
// cheapest would get most.
func (c *Chooser) shareSlots(unseen float64, all []weighed) {
	roomy, room, inTime := 0, 0.0, 0
	for i := range all {
		if !all[i].choice.Room {
			continue
		}
		roomy++
		if all[i].choice.soon {
			inTime++
			room += all[i].left
		}
	}
	atEach := unseen / float64(max(roomy, 1))
	at, scarce := 0.0, room < atEach*float64(inTime)
	if scarce {
		at = c.random.Float64() * atEach * float64(inTime)
	}
	for i := range all {
		w := &all[i]
		switch {
		case !w.choice.Room:
		case scarce && w.choice.soon:
			w.choice.Room = at >= 0 && at < w.left
			at -= w.left
		case w.left < atEach:
			w.choice.Room = c.random.Float64() < w.left/atEach
		}
	}
}

// slotsLeft is how many slots a request may still take; more than there are
// requests where that isn't bounded.
func (s *Server) slotsLeft(job Job) float64 {
	if job.Tokens == 0 || s.Slots == 0 {
		return math.Inf(1)
	}
	share := fullSlots - slotsPerLevel*float64(job.Urgency) - job.Headroom
	return share*float64(s.Slots) - float64(s.inFlight())
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
func (c *Chooser) sharesTime(job *Job, best *Choice, rate *PrefillRate, soon int) bool {
	if job.Target == 0 || job.UnseenTokens == 0 {
		return true
	}
	unseen := job.UnseenTokens/float64(soon) - rate.during(job.NewsAge)
	own := float64(best.Prefill)
	spare := rate.within(job.Target, job.atMeanLength(own)) - (best.Ahead - own)
	return spare >= unseen || c.random.Float64() < spare/unseen
}
