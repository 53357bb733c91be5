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

// segmentSuspicion is the encoded form of policy.Suspicion for a prompt segment. Gateways of releases
// that know whole requests only would take it for a request, so it is not a suspicion.
type segmentSuspicion struct {
	_       struct{} `cbor:",toarray"`
	Segment uint64
	// ClearedAge is the age of the last answer; 0 if there is none.
	ClearedAge uint32
	// SeenAge is the time since the segment last arrived.
	SeenAge uint32
	Crashes []segmentCrash
}

// segmentCrash is the encoded form of policy.Crash for a prompt segment. Ran is in milliseconds.
type segmentCrash struct {
	_        struct{} `cbor:",toarray"`
	Instance uint32
	Age      uint32
	Ran      uint32
}

// packSuspicions encodes suspicions, those of requests and those of segments.
func packSuspicions(now time.Time, suspicions []policy.Suspicion) (requests []suspicion, segments []segmentSuspicion) {
	for _, s := range suspicions {
		var clearedAge uint32
		if !s.Cleared.IsZero() {
			clearedAge = ageMillis(now, s.Cleared)
		}
		if s.ID.Segment {
			packed := segmentSuspicion{Segment: s.ID.Hash, SeenAge: ageMillis(now, s.Seen), ClearedAge: clearedAge}
			for _, c := range s.Crashes {
				packed.Crashes = append(packed.Crashes, segmentCrash{Instance: uint32(c.Instance), Age: ageMillis(now, c.At), Ran: uint32(min(max(c.Ran.Milliseconds(), 0), math.MaxUint32))})
			}
			segments = append(segments, packed)
			continue
		}
		packed := suspicion{Fingerprint: s.ID.Hash, SeenAge: ageMillis(now, s.Seen), ClearedAge: clearedAge}
		for _, c := range s.Crashes {
			packed.Crashes = append(packed.Crashes, crash{Instance: uint32(c.Instance), Age: ageMillis(now, c.At)})
		}
		requests = append(requests, packed)
	}
	return requests, segments
}

// unpackSuspicions decodes suspicions of requests and of segments.
func unpackSuspicions(now time.Time, requests []suspicion, segments []segmentSuspicion) []policy.Suspicion {
	if len(requests)+len(segments) == 0 {
		return nil
	}
	suspicions := make([]policy.Suspicion, 0, len(requests)+len(segments))
	for _, packed := range requests {
		s := policy.Suspicion{ID: policy.Fingerprint(packed.Fingerprint).ID(), Seen: timeAtAge(now, packed.SeenAge), Cleared: clearedAt(now, packed.ClearedAge)}
		for _, c := range packed.Crashes {
			s.Crashes = append(s.Crashes, policy.Crash{Instance: policy.Key(c.Instance), At: timeAtAge(now, c.Age)})
		}
		suspicions = append(suspicions, s)
	}
	for _, packed := range segments {
		s := policy.Suspicion{ID: policy.SegmentID(packed.Segment).ID(), Seen: timeAtAge(now, packed.SeenAge), Cleared: clearedAt(now, packed.ClearedAge)}
		for _, c := range packed.Crashes {
			s.Crashes = append(s.Crashes, policy.Crash{Instance: policy.Key(c.Instance), At: timeAtAge(now, c.Age), Ran: time.Duration(c.Ran) * time.Millisecond})
		}
		suspicions = append(suspicions, s)
	}
	return suspicions
}

// clearedAt returns when a suspect was cleared; zero if the age is 0.
func clearedAt(now time.Time, age uint32) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return timeAtAge(now, age)
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
