package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// scriptNames are the behaviors of backend servers. The first responds normally; a
// name that is listed more than once is drawn more often.
var scriptNames = []string{"well", "well", "well", "refuse", "drop", "hang", "fail", "half", "extra", "garble", "slow"}

const (
	// scriptBackoff rejects requests and asks for backoffTime without any, and scriptDrain responds normally
	// and says that the server drains. Both have steps of their own.
	scriptBackoff = "backoff"
	scriptDrain   = "drain"
	backoffTime   = 1500 * time.Millisecond
	// maxServiceMS bounds the service time of a request in milliseconds, and
	// maxSlowServiceMS that at a slow server: less than the shortest timeout.
	maxServiceMS     = 60
	maxSlowServiceMS = 1500
	// eventInterval is the time between two events of a stream.
	eventInterval = 15 * time.Millisecond
)

// scriptByName returns the behavior of a name for a server of a software version;
// normal responses for an unknown one.
func scriptByName(name, version string) gateway.Script {
	if r, found := endlessResponses[name]; found {
		return gateway.Endless(r.begin, r.unit, r.pause, endlessLimit)
	}
	respond, respondHalf, respondTwice := respondAt(version), respondHalfAt(version), respondTwiceAt(version)
	switch name {
	case "refuse":
		return gateway.Reject(503)
	case scriptBackoff:
		return gateway.AskForBackoff(backoffTime, true)
	case scriptDrain:
		return delayed(maxServiceMS, respondAt(version, "Server-Leaving: 1"))
	case "drop":
		return gateway.CloseConnection
	case "hang":
		return gateway.Hang
	case "fail":
		return gateway.Fail(500)
	case "half":
		return respondHalf
	case "extra":
		return respondTwice
	case "garble":
		return func(c net.Conn, _ *gateway.ReceivedRequest) bool {
			_, _ = io.WriteString(c, "this is no answer\r\n\r\n")
			return false
		}
	case "slow":
		return delayed(maxSlowServiceMS, respond)
	default:
		return delayed(maxServiceMS, respond)
	}
}

// rejects reports whether a script says that requests didn't run.
func rejects(name string) bool {
	return name == "refuse" || name == scriptBackoff || name == scriptEndlessRejection
}

// delayed runs then after a delay derived from the request's ID, below maxMS
// milliseconds. It doesn't respond if the gateway disconnects meanwhile.
func delayed(maxMS uint64, then gateway.Script) gateway.Script {
	return func(c net.Conn, a *gateway.ReceivedRequest) bool {
		select {
		case <-time.After(time.Duration(hashID(a.ID)%maxMS) * time.Millisecond):
			return then(c, a)
		case <-a.Closed:
			return false
		}
	}
}

// parseRequest returns the kind of a request, the ID of the request that began its
// stream, and the number of the last event that its caller has received; 0 for none.
func parseRequest(a *gateway.ReceivedRequest) (kind, stream string, lastEvent int) {
	// Without a valid number the stream starts at its first event.
	_, _ = fmt.Sscan(a.Header.Get("Last-Event-Id"), &lastEvent)
	kind, _, _ = strings.Cut(strings.TrimPrefix(a.Target, "/"), "/")
	if stream = a.Header.Get("Resumes"); stream == "" {
		stream = a.ID
	}
	return kind, stream, lastEvent
}

// respondAt returns a script that sends a complete response, with additional header lines; a stream event
// by event.
func respondAt(version string, lines ...string) gateway.Script {
	return func(c net.Conn, a *gateway.ReceivedRequest) bool {
		kind, stream, from := parseRequest(a)
		if !isStream(kind) {
			body := expectedBody(kind, a.ID, 0)
			_, err := io.WriteString(c, gateway.ResponseHead(a, 200, append([]string{fmt.Sprintf("Content-Length: %d", len(body))}, lines...)...)+body)
			return err == nil
		}
		if _, err := io.WriteString(c, gateway.ResponseHead(a, 200, append([]string{"Transfer-Encoding: chunked", "Content-Type: text/event-stream"}, lines...)...)); err != nil {
			return false
		}
		for n := from + 1; n <= streamEventCount; n++ {
			time.Sleep(eventInterval)
			if _, err := io.WriteString(c, chunked(versionEvent(stream, n, version))); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// chunked returns a text as one chunk of a chunked body.
func chunked(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// respondHalfAt returns a script that sends half of a response and closes the
// connection.
func respondHalfAt(version string) gateway.Script {
	return func(c net.Conn, a *gateway.ReceivedRequest) bool {
		kind, stream, from := parseRequest(a)
		if !isStream(kind) {
			stream = a.ID
		}
		complete := expectedVersionBody(kind, stream, from, version)
		_, _ = io.WriteString(c, gateway.ResponseHead(a, 200, fmt.Sprintf("Content-Length: %d", len(complete)))+complete[:len(complete)/2])
		return false
	}
}

// respondTwiceAt returns a script that sends a complete response, then an unsolicited
// one.
func respondTwiceAt(version string) gateway.Script {
	respond := respondAt(version)
	return func(c net.Conn, a *gateway.ReceivedRequest) bool {
		stale := *a
		stale.ID = "nobody"
		return respond(c, a) && gateway.Respond("for nobody")(c, &stale)
	}
}
