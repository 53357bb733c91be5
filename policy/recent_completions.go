package policy

import "time"

// maxCompletionsPerMap bounds each of the two maps of recentCompletions, which holds
// up to twice as many suspects.
const maxCompletionsPerMap = 16384

// recentCompletions holds the time of the last complete response to a request, or of the last
// answer with a segment, within crashGracePeriod and of some older ones.
type recentCompletions struct {
	// current has the responses since rotated, and previous those of the interval before.
	current, previous map[SuspectID]time.Time
	rotated           time.Time
}

func (r *recentCompletions) add(now time.Time, id SuspectID) {
	if r.current == nil || len(r.current) >= maxCompletionsPerMap || now.Sub(r.rotated) > crashGracePeriod {
		r.current, r.previous, r.rotated = map[SuspectID]time.Time{}, r.current, now
	}
	if now.After(r.current[id]) {
		r.current[id] = now
	}
}

// lastCompletion returns when a suspect was last answered; zero if unknown.
func (r *recentCompletions) lastCompletion(id SuspectID) time.Time {
	if t, ok := r.current[id]; ok {
		return t
	}
	return r.previous[id]
}
