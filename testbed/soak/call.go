package soak

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// Request kinds. A kind is the first segment of the request's path.
const (
	kindSafe   = "safe"
	kindUnsafe = "unsafe"
	kindStream = "stream"
	// kindResume is the kind of requests to a resumable stream, and kindOpen that of
	// requests to a public route, which need no key.
	kindResume = "resume"
	kindOpen   = "open"
)

// streamEventCount is the number of events in a complete stream. maxPaddingBytes
// bounds the padding of other response bodies: large enough for several reads, but
// small compared to a link's bandwidth.
const (
	streamEventCount = 8
	maxPaddingBytes  = 6000
)

// Call is one request as its caller observed it.
type Call struct {
	ID, Gateway, Kind, Key string
	// Before is the number of earlier requests on the connection, and Rested is
	// how long the connection had been idle.
	Before int
	Rested time.Duration
	Sent   time.Time
	// Written reports whether the complete request was written.
	Written bool
	Done    time.Time
	// Status is 0 if no response header was received. Echoed is the response's
	// X-Request-Id, Signed reports whether it has a signature, and Whole whether it
	// appears complete.
	Status int
	Echoed string
	Signed bool
	Whole  bool
	Body   string
	// Err is the error that ended the call; empty if there was none.
	Err string
	// Timeout is the timeout of the route.
	Timeout time.Duration
	// Stray reports whether unsolicited bytes were received before the request.
	Stray bool
}

// runsAtMostOnce reports whether the request may run at most once.
func (c Call) runsAtMostOnce() bool { return c.Kind == kindUnsafe || c.Kind == kindStream }

func (c Call) String() string {
	return fmt.Sprintf("%s at %s, %d earlier requests on its connection, idle for %s, sent %s, took %s, status %d, error %q",
		c.ID, c.Gateway, c.Before, c.Rested.Round(time.Millisecond), c.Sent.Format("15:04:05.000"), c.Done.Sub(c.Sent).Round(time.Millisecond), c.Status, c.Err)
}

// isStream reports whether the response to requests of a kind is a stream of events.
func isStream(kind string) bool { return kind == kindStream || kind == kindResume }

// expectedBody returns the complete response body for a request. For a stream it
// returns the events that follow event number after.
func expectedBody(kind, id string, after int) string {
	if !isStream(kind) {
		return "for " + id + "\n" + strings.Repeat(id[:1], int(hashID(id)%maxPaddingBytes))
	}
	var text strings.Builder
	for n := after + 1; n <= streamEventCount; n++ {
		text.WriteString(streamEvent(id, n))
	}
	return text.String()
}

// streamEvent returns event n of a request's stream.
func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: for %s\n\n", n, id) }

// hashID returns a number that depends only on the request's ID, so that replaying
// a seed draws the same values.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
