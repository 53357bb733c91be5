package soak

import (
	"slices"
	"time"
)

const (
	// crashesUntilKnown is how many servers may crash under a segment before it must be known, and
	// lateRuns how many more of its requests may reach servers from Bounds.Contact after that.
	crashesUntilKnown = 5
	lateRuns          = 3
	// minSoundCalls is the number of sound requests from which their share is checked, and
	// minSoundShare the least share of them that is to be served, relative to that outside the times
	// in which requests with a deadly segment come.
	minSoundCalls = 20
	minSoundShare = 0.5
)

// verifySegments checks that requests with a segment under which crashesUntilKnown servers have crashed
// are no longer sent to servers by gateways without faults, and that sound requests are served while
// such requests come.
func (h indexedHistory) verifySegments(report reportFunc) {
	calls := map[string]Call{}
	waves := map[string][]Call{}
	for _, c := range h.Calls {
		calls[c.ID] = c
		if c.Deadly != "" {
			waves[c.Deadly] = append(waves[c.Deadly], c)
		}
	}
	for deadly, wave := range waves {
		crashes := h.crashesUnder(deadly, calls)
		if len(crashes) < crashesUntilKnown {
			continue
		}
		fifth := crashes[crashesUntilKnown-1]
		late := h.lateArrivals(wave, fifth.Add(h.Bounds.Contact))
		if late > lateRuns {
			report(checkDeadlySegments, "%s: %d requests reached servers later than %s after the fifth crash, %d crashes in all", deadly, late, h.Bounds.Contact, len(crashes))
		}
	}
	h.verifySoundCalls(waves, calls, report)
}

// crashesUnder returns the times at which servers crashed under a segment, in order.
func (h indexedHistory) crashesUnder(deadly string, calls map[string]Call) []time.Time {
	var crashes []time.Time
	for _, a := range h.Arrivals {
		if a.Crashed && calls[a.ID].Deadly == deadly {
			crashes = append(crashes, a.At)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// lateArrivals counts the arrivals of calls at servers that were sent by gateways without faults after
// a time.
func (h indexedHistory) lateArrivals(calls []Call, after time.Time) (count int) {
	for _, c := range calls {
		if h.affectedByFault(c.Gateway, c) || slices.Contains(h.Earlier, c.Gateway) {
			continue
		}
		for _, a := range h.arrivals[c.ID] {
			if a.At.After(after) {
				count++
			}
		}
	}
	return count
}

// verifySoundCalls checks the share of sound requests that are served from twice Bounds.Contact after the
// fifth crash under a segment, or the last one if there are fewer, until its requests have stopped coming.
func (h indexedHistory) verifySoundCalls(waves map[string][]Call, calls map[string]Call, report reportFunc) {
	during, duringServed, calm, calmServed := 0, 0, 0, 0
	for _, c := range h.Calls {
		if c.Deadly != "" || c.Segments == "" || c.Resumes != "" || c.Left || h.affectedByFault(c.Gateway, c) || slices.Contains(h.Earlier, c.Gateway) {
			continue
		}
		served := isSuccess(c.Status) && c.Whole
		switch inWave, judged := h.inWave(c.Sent, waves, calls); {
		case judged:
			during++
			if served {
				duringServed++
			}
		case !inWave:
			calm++
			if served {
				calmServed++
			}
		}
	}
	if during < minSoundCalls || calm < minSoundCalls {
		return
	}
	if float64(duringServed)/float64(during) < minSoundShare*float64(calmServed)/float64(calm) {
		report(checkSoundRequests, "%d of %d sound requests served while requests with a known deadly segment came, %d of %d otherwise", duringServed, during, calmServed, calm)
	}
}

// inWave reports whether requests with a deadly segment came at a time, and whether it was late enough
// after the crashes for sound requests to be judged.
func (h indexedHistory) inWave(at time.Time, waves map[string][]Call, calls map[string]Call) (inWave, judged bool) {
	for deadly, wave := range waves {
		if at.Before(wave[0].Sent) || at.After(wave[len(wave)-1].Sent) {
			continue
		}
		crashes := h.crashesUnder(deadly, calls)
		known := crashes[:min(len(crashes), crashesUntilKnown)]
		return true, len(known) > 0 && at.After(known[len(known)-1].Add(2*h.Bounds.Contact))
	}
	return false, false
}
