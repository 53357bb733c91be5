package policy

import (
	"cmp"
	"time"
)

// Crash is the end of a server instance while it ran a request.
type Crash struct {
	// Instance identifies the server instance.
	Instance Key
	// At is when the instance ended, and Ran for how long the request had been at the instance; 0 if
	// unknown.
	At  time.Time
	Ran time.Duration
}

// sentAt returns when the request was sent to the instance.
func (c Crash) sentAt() time.Time { return c.At.Add(-c.Ran) }

// independent returns the largest number of crashes of which each ended a request that was sent after
// the one before. Those at the same time are one piece of evidence: when many servers end at once for
// another reason, a frequent segment was running at several of them. The crashes are in the order of
// their times.
func independent(crashes []Crash) []Crash {
	var chosen []Crash
	for _, c := range crashes {
		if len(chosen) == 0 || !c.sentAt().Before(chosen[len(chosen)-1].At) {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

// sample returns a hash of a crash's instance. Of more than maxCrashes crashes, those with the smallest
// hashes are kept: which ones doesn't depend on the order in which they become known, so that suspects
// with the same crashes keep the same ones at all gateways.
func (c Crash) sample() uint64 { return mix(uint64(c.Instance)) }

// indexOfLargestSample returns the index of the crash with the largest sample.
func indexOfLargestSample(crashes []Crash) int {
	largest := 0
	for i, c := range crashes {
		if c.sample() > crashes[largest].sample() {
			largest = i
		}
	}
	return largest
}

// compareCrashes compares two numbers of crashes, of which at most maxCrashes are known each. Of two such
// samples, the one from more crashes has the smaller hashes.
func compareCrashes(a, b []Crash) int {
	if len(a) == maxCrashes && len(b) == maxCrashes {
		return cmp.Compare(b[indexOfLargestSample(b)].sample(), a[indexOfLargestSample(a)].sample())
	}
	return cmp.Compare(len(a), len(b))
}
