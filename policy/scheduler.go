package policy

import "time"

// coldLimit is how many runs an engine gets before anything is known of it.
const coldLimit = 8

// Scheduler decides for one engine: what is let in, what waits, what runs
// next and how much runs at once. Its agent calls it under the agent's lock;
// it is not safe for concurrent use.
type Scheduler struct {
	waiting [tierCount][]Ticket
	running map[string]Ticket
}

// NewScheduler returns a Scheduler for an engine of which nothing is known.
func NewScheduler() *Scheduler {
	return &Scheduler{running: map[string]Ticket{}}
}

// Offer takes a ticket in, or refuses it.
func (s *Scheduler) Offer(now time.Time, t Ticket) Decision {
	s.Resume(now, t)
	return Decision{Admitted: true}
}

// Resume takes in a retry of a request that ran in part.
func (s *Scheduler) Resume(now time.Time, t Ticket) {
	t.Arrived = now
	s.waiting[t.Tier] = append(s.waiting[t.Tier], t)
}

// Withdraw removes a waiting ticket and reports whether there was one.
func (s *Scheduler) Withdraw(id string) bool {
	for tier, line := range s.waiting {
		for i, t := range line {
			if t.ID == id {
				s.waiting[tier] = append(line[:i:i], line[i+1:]...)
				return true
			}
		}
	}
	return false
}

// Next returns the ticket to grant now, if there is room for one. The ticket
// holds its slot until Finished.
func (s *Scheduler) Next(now time.Time) (Ticket, bool) {
	if len(s.running) >= coldLimit {
		return Ticket{}, false
	}
	for tier, line := range s.waiting {
		if len(line) > 0 {
			s.waiting[tier] = line[1:]
			s.running[line[0].ID] = line[0]
			return line[0], true
		}
	}
	return Ticket{}, false
}

// Started says that a grant was taken up.
func (s *Scheduler) Started(now time.Time, id string) {}

// Tokens says that n tokens came; the first call is the first token.
func (s *Scheduler) Tokens(now time.Time, id string, n int) {}

// Finished frees the slot of a granted ticket.
func (s *Scheduler) Finished(now time.Time, id string, o Outcome) {
	delete(s.running, id)
}

// Expire removes and returns the waiting tickets that can't meet their target
// any more; their caller is told at once that they were not run. NextWake
// says when to call it.
func (s *Scheduler) Expire(now time.Time) []string { return nil }

// RetryAfter is the time to come back for a ticket of a tier that was
// displaced or has expired.
func (s *Scheduler) RetryAfter(now time.Time, tier Tier) time.Duration { return time.Second }

// Preempt names a lower-tier run to cancel for a waiting urgent ticket.
func (s *Scheduler) Preempt(now time.Time) (id string, ok bool) { return "", false }

// Load describes the queue.
func (s *Scheduler) Load() Load {
	load := Load{Running: len(s.running), Limit: coldLimit}
	for _, line := range s.waiting {
		load.Waiting += len(line)
	}
	return load
}

// NextWake says when a decision is due that no other call brings about: then
// Expire and Next are to be called.
func (s *Scheduler) NextWake(now time.Time) (time.Time, bool) { return time.Time{}, false }
