package peers

import (
	"math"
	"time"

	"github.com/applepier/applepier/policy"
)

// suspicion is what a gateway knows of a request under which backend servers ended. Times
// are ages in milliseconds when it is told.
type suspicion struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	// Cleared is the age of the last whole answer; 0 for none.
	Cleared uint32
	// Seen is the age of the last time that it came.
	Seen    uint32
	Crashes []crash
}

// crash is a start of a backend server that ended.
type crash struct {
	_     struct{} `cbor:",toarray"`
	Start uint32
	Age   uint32
}

// suspicionsOf packs suspicions.
func suspicionsOf(now time.Time, all []policy.Suspicion) []suspicion {
	packed := make([]suspicion, len(all))
	for i, s := range all {
		packed[i].Fingerprint, packed[i].Seen = uint64(s.Fingerprint), ageOf(now, s.Seen)
		if !s.Cleared.IsZero() {
			packed[i].Cleared = ageOf(now, s.Cleared)
		}
		for _, c := range s.Crashes {
			packed[i].Crashes = append(packed[i].Crashes, crash{Start: uint32(c.Start), Age: ageOf(now, c.At)})
		}
	}
	return packed
}

// unpackSuspicions unpacks what a datagram tells.
func unpackSuspicions(now time.Time, packed []suspicion) []policy.Suspicion {
	if len(packed) == 0 {
		return nil
	}
	all := make([]policy.Suspicion, len(packed))
	for i, s := range packed {
		all[i].Fingerprint, all[i].Seen = policy.Fingerprint(s.Fingerprint), before(now, s.Seen)
		if s.Cleared > 0 {
			all[i].Cleared = before(now, s.Cleared)
		}
		for _, c := range s.Crashes {
			all[i].Crashes = append(all[i].Crashes, policy.Crash{Start: policy.Key(c.Start), At: before(now, c.Age)})
		}
	}
	return all
}

// ageOf is in milliseconds, one at least. For who hears of it the datagram's way isn't
// part of it.
func ageOf(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 1), math.MaxUint32))
}

func before(now time.Time, age uint32) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}
