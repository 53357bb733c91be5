package policy

import "time"

// maxGenerationSize bounds the whole answers that are remembered, twice.
const maxGenerationSize = 4096

// recentAnswers are the requests that were answered whole within clearedFor, and some
// before it, by when.
type recentAnswers struct {
	// current were answered since a moment, previous before it.
	current, previous map[Fingerprint]time.Time
	rotated        time.Time
}

func (r *recentAnswers) add(now time.Time, f Fingerprint) {
	if r.current == nil || len(r.current) >= maxGenerationSize || now.Sub(r.rotated) > clearedFor {
		r.current, r.previous, r.rotated = map[Fingerprint]time.Time{}, r.current, now
	}
	r.current[f] = now
}

// last is when a request was answered last; zero if that isn't known.
func (r *recentAnswers) last(f Fingerprint) time.Time {
	if at, ok := r.current[f]; ok {
		return at
	}
	return r.previous[f]
}
