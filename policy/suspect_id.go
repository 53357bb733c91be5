package policy

import (
	"cmp"
	"strconv"
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
