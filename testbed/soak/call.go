package soak

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// Kinds of requests: the first part of their path.
const (
	kindSafe   = "safe"
	kindUnsafe = "unsafe"
	kindStream = "stream"
	kindResume = "resume"
	kindOpen   = "open"
)

// streamEvents is the length of a whole stream, and bodyMost that of a whole
// body in bytes: several reads, no great part of a link.
const (
	streamEvents = 8
	bodyMost     = 6000
)

// Call is one request as its caller saw it.
type Call struct {
	ID, Gateway, Kind, Key string
	// Before counts the requests on the connection before it, and Rested is how
	// long the connection had asked nothing.
	Before int
	Rested time.Duration
	Sent   time.Time
	// Written says that the whole request was written.
	Written bool
	Done    time.Time
	// Status is 0 without the head of an answer; Whole says that the answer
	// looks whole.
	Status  int
	Echoed  string
	Signed  bool
	Whole   bool
	Body    string
	Err     string
	Timeout time.Duration
	// Stray says that bytes came that nothing had been asked for.
	Stray bool
}

// once says that the request may run once at most.
func (c Call) once() bool { return c.Kind == kindUnsafe || c.Kind == kindStream }

func (c Call) String() string {
	return fmt.Sprintf("%s at %s, %d before on its connection, rested %s, sent %s, took %s, status %d, %q",
		c.ID, c.Gateway, c.Before, c.Rested.Round(time.Millisecond), c.Sent.Format("15:04:05.000"), c.Done.Sub(c.Sent).Round(time.Millisecond), c.Status, c.Err)
}

// streams says that a kind is answered with events.
func streams(kind string) bool { return kind == kindStream || kind == kindResume }

// Whole is the whole answer to a request; of a stream what follows the event
// after.
func Whole(kind, id string, after int) string {
	if !streams(kind) {
		return "for " + id + "\n" + strings.Repeat(id[:1], int(luck(id)%bodyMost))
	}
	var text strings.Builder
	for n := after + 1; n <= streamEvents; n++ {
		text.WriteString(eventOf(id, n))
	}
	return text.String()
}

// eventOf is an event of a stream.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: for %s\n\n", n, id) }

// luck is a number that only depends on a request's id, so that a seed's replay
// draws the same.
func luck(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
