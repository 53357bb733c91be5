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
	// Resumes is the ID of the call that brought the first event of the stream that this
	// call resumes, and After the number of the last event that the caller has; empty
	// and 0 for other calls.
	Resumes string
	After   int
	// Left reports whether the caller disconnected before the end of the stream.
	Left bool
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
	// Segments is the list of the request's prompt segments as it was sent; empty if it has no
	// prompt. Deadly is the segment among them that crashes servers; empty for none.
	Segments string
	Deadly   string
}

// runsAtMostOnce reports whether the request may run at most once.
func (c Call) runsAtMostOnce() bool { return c.Kind == kindUnsafe || c.Kind == kindStream }

func (c Call) String() string {
	return fmt.Sprintf("%s at %s, %d earlier requests on its connection, idle for %s, sent %s, took %s, status %d, error %q",
		c.ID, c.Gateway, c.Before, c.Rested.Round(time.Millisecond), c.Sent.Format("15:04:05.000"), c.Done.Sub(c.Sent).Round(time.Millisecond), c.Status, c.Err)
}

// leavesEarly reports whether the caller disconnects before the end of the stream: in
// one of three streams that can be resumed.
func (c Call) leavesEarly() bool {
	return c.Kind == kindResume && c.Resumes == "" && hashID(c.ID)%3 == 0 && !strings.HasPrefix(c.ID, "probe")
}

// canResume reports whether the caller resumes the stream: it isn't complete, and the
// caller has an event of it.
func (c Call) canResume() bool {
	return c.Kind == kindResume && !c.Whole && c.After+eventCount(c.Body) > 0 && c.After+eventCount(c.Body) < streamEventCount
}

// wentOn reports whether a resumed stream went on: the caller got at least one more
// event.
func (c Call) wentOn() bool { return isSuccess(c.Status) && eventCount(c.Body) > 0 }

// stream returns the ID of the call that began the stream.
func (c Call) stream() string {
	if c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// isStream reports whether the response to requests of a kind is a stream of events.
func isStream(kind string) bool { return kind == kindStream || kind == kindResume }

// softwareVersions are the versions of the backend servers' software.
var softwareVersions = []string{"v1", "v2", "v3"}

// expectedBody returns the complete response body for a request. For a stream it
// returns the events that follow event number after, from a server of the first
// version.
func expectedBody(kind, id string, after int) string {
	return expectedVersionBody(kind, id, after, softwareVersions[0])
}

// expectedVersionBody is expectedBody from a server of a software version.
func expectedVersionBody(kind, id string, after int, version string) string {
	if !isStream(kind) {
		return "for " + id + "\n" + strings.Repeat(id[:1], int(hashID(id)%maxPaddingBytes))
	}
	var text strings.Builder
	for n := after + 1; n <= streamEventCount; n++ {
		text.WriteString(versionEvent(id, n, version))
	}
	return text.String()
}

// isStreamBody reports whether a body consists of the events of a stream after event
// number after, from servers of any versions: all of them if the body is whole, else
// only their beginning.
func isStreamBody(body, id string, after int, whole bool) bool {
	for n := after + 1; n <= streamEventCount; n++ {
		event := ""
		for _, version := range softwareVersions {
			if candidate := versionEvent(id, n, version); strings.HasPrefix(candidate, body) && !whole {
				return true
			} else if strings.HasPrefix(body, candidate) {
				event = candidate
			}
		}
		if event == "" {
			return false
		}
		body = body[len(event):]
	}
	return body == ""
}

// versionsIn returns the software versions in the complete events of a stream's body,
// in order and each once in a row.
func versionsIn(body string) []string {
	var versions []string
	for event := range strings.SplitSeq(body, "\n\n") {
		_, rest, _ := strings.Cut(event, "event: ")
		version, _, complete := strings.Cut(rest, "\n")
		if complete && (len(versions) == 0 || versions[len(versions)-1] != version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// eventCount returns the number of complete events in a body.
func eventCount(body string) int { return strings.Count(body, "\n\n") }

// streamEvent returns event n of a request's stream, from a server of the first version.
func streamEvent(id string, n int) string { return versionEvent(id, n, softwareVersions[0]) }

// versionEvent returns event n of a request's stream, from a server of a software
// version.
func versionEvent(id string, n int, version string) string {
	return fmt.Sprintf("id: %d\nevent: %s\ndata: for %s\n\n", n, version, id)
}

// hashID returns a number that depends only on the request's ID, so that replaying
// a seed draws the same values.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
