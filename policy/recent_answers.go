package policy

import "time"

// mostAnswers bounds the whole answers that are remembered, twice.
const mostAnswers = 4096

// recentAnswers are the requests that were answered whole within clearedFor, and some
// before it, by when.
type recentAnswers struct {
	// newer were answered since a moment, older before it.
	newer, older map[Fingerprint]time.Time
	since        time.Time
}

func (r *recentAnswers) add(now time.Time, f Fingerprint) {
	if r.newer == nil || len(r.newer) >= mostAnswers || now.Sub(r.since) > clearedFor {
		r.newer, r.older, r.since = map[Fingerprint]time.Time{}, r.newer, now
	}
	r.newer[f] = now
}

// last is when a request was answered last; zero if that isn't known.
func (r *recentAnswers) last(f Fingerprint) time.Time {
	if at, ok := r.newer[f]; ok {
		return at
	}
	return r.older[f]
}
