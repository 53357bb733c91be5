package peers

import (
	"math"
	"time"

	"github.com/applepier/applepier/policy"
)

// suspicion is the encoded form of policy.Suspicion: a request during which backend servers
// crashed. Ages are in milliseconds at the time of encoding.
type suspicion struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	// ClearedAge is the age of the last complete response; 0 if there is none.
	ClearedAge uint32
	// SeenAge is the time since the request last arrived.
	SeenAge uint32
	Crashes []crash
}

// crash is the encoded form of policy.Crash: an instance of a backend server that crashed.
type crash struct {
	_        struct{} `cbor:",toarray"`
	Instance uint32
	Age      uint32
}

// packSuspicions encodes suspicions.
func packSuspicions(now time.Time, suspicions []policy.Suspicion) []suspicion {
	packed := make([]suspicion, len(suspicions))
	for i, s := range suspicions {
		packed[i].Fingerprint, packed[i].SeenAge = uint64(s.Fingerprint), ageMillis(now, s.Seen)
		if !s.Cleared.IsZero() {
			packed[i].ClearedAge = ageMillis(now, s.Cleared)
		}
		for _, c := range s.Crashes {
			packed[i].Crashes = append(packed[i].Crashes, crash{Instance: uint32(c.Instance), Age: ageMillis(now, c.At)})
		}
	}
	return packed
}

// unpackSuspicions decodes suspicions.
func unpackSuspicions(now time.Time, packed []suspicion) []policy.Suspicion {
	if len(packed) == 0 {
		return nil
	}
	suspicions := make([]policy.Suspicion, len(packed))
	for i, s := range packed {
		suspicions[i].Fingerprint, suspicions[i].Seen = policy.Fingerprint(s.Fingerprint), timeAtAge(now, s.SeenAge)
		if s.ClearedAge > 0 {
			suspicions[i].Cleared = timeAtAge(now, s.ClearedAge)
		}
		for _, c := range s.Crashes {
			suspicions[i].Crashes = append(suspicions[i].Crashes, policy.Crash{Instance: policy.Key(c.Instance), At: timeAtAge(now, c.Age)})
		}
	}
	return suspicions
}

// ageMillis returns the age of a time in milliseconds, at least 1. Receivers neglect the time for
// which a datagram is in transit.
func ageMillis(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 1), math.MaxUint32))
}

// timeAtAge returns the time that has the given age in milliseconds.
func timeAtAge(now time.Time, age uint32) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}
