package policy

import "time"

// maxCompletionsPerMap bounds each of the two maps of recentCompletions, which holds
// up to twice as many requests.
const maxCompletionsPerMap = 4096

// recentCompletions holds the time of the last complete response by request fingerprint,
// for responses within crashGracePeriod and some older ones.
type recentCompletions struct {
	// current has the responses since rotated, and previous those of the interval before.
	current, previous map[Fingerprint]time.Time
	rotated           time.Time
}

func (r *recentCompletions) add(now time.Time, f Fingerprint) {
	if r.current == nil || len(r.current) >= maxCompletionsPerMap || now.Sub(r.rotated) > crashGracePeriod {
		r.current, r.previous, r.rotated = map[Fingerprint]time.Time{}, r.current, now
	}
	r.current[f] = now
}

// lastCompletion returns when a request was last answered completely; zero if unknown.
func (r *recentCompletions) lastCompletion(f Fingerprint) time.Time {
	if t, ok := r.current[f]; ok {
		return t
	}
	return r.previous[f]
}
