package policy

import (
	"cmp"
	"strconv"
	"time"
)

// Fingerprint identifies a request's content: a retry has the fingerprint of the original
// request.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// SegmentID identifies the content of a prompt segment. Callers state it.
type SegmentID uint64

// String returns the ID in hexadecimal.
func (s SegmentID) String() string { return strconv.FormatUint(uint64(s), 16) }

// SuspectID identifies a suspect: the content of whole requests, or a prompt segment.
type SuspectID struct {
	// Hash is a Fingerprint, or a SegmentID if Segment is set.
	Hash    uint64
	Segment bool
}

// ID returns the suspect of requests with the fingerprint.
func (f Fingerprint) ID() SuspectID { return SuspectID{Hash: uint64(f)} }

// ID returns the suspect of requests with the segment.
func (s SegmentID) ID() SuspectID { return SuspectID{Hash: uint64(s), Segment: true} }

// String returns the hash in hexadecimal.
func (id SuspectID) String() string { return strconv.FormatUint(id.Hash, 16) }

// compare orders suspects of which all else is equal, so that all gateways choose the same one:
// requests come before segments.
func (id SuspectID) compare(other SuspectID) int {
	if id.Segment != other.Segment {
		if other.Segment {
			return -1
		}
		return 1
	}
	return cmp.Compare(id.Hash, other.Hash)
}

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

// Suspicion is what is known about a suspect that was running when server instances ended.
type Suspicion struct {
	ID SuspectID
	// Cleared is when a server last answered a request with it; zero for never.
	Cleared time.Time
	// Seen is when a request with it last arrived at any gateway.
	Seen time.Time
	// Crashes are the crashes that count since it was cleared.
	Crashes []Crash
}

// LastCrash returns when the last server instance ended; zero for none.
func (s Suspicion) LastCrash() time.Time {
	var last time.Time
	for _, c := range s.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}
