package policy

import "time"

// Preempt names a lower-tier run to cancel for a waiting urgent ticket.
func (s *Scheduler) Preempt(now time.Time) (id string, ok bool) {
	return "", false
}
