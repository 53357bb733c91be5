package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// Scripts of backend servers by name. The first answers well; a name that is
// there more than once is drawn more often.
var scriptNames = []string{"well", "well", "well", "refuse", "drop", "hang", "fail", "half", "extra", "garble", "slow"}

const (
	// workMost is how long a request takes in ms, and slowMost at a slow
	// server: less than the shortest time limit.
	workMost = 60
	slowMost = 1500
	// eventPause is between two events of a stream.
	eventPause = 15 * time.Millisecond
)

// script answers as its name says.
func script(name string) gateway.Script {
	switch name {
	case "refuse":
		return gateway.Refuse(503)
	case "drop":
		return gateway.Drop
	case "hang":
		return gateway.Hang
	case "fail":
		return gateway.Failure(500)
	case "half":
		return half
	case "extra":
		return extra
	case "garble":
		return func(c net.Conn, _ *gateway.Arrival) bool {
			_, _ = io.WriteString(c, "this is no answer\r\n\r\n")
			return false
		}
	case "slow":
		return after(slowMost, answer)
	default:
		return after(workMost, answer)
	}
}

// after works for a while, which the request's id draws.
func after(most uint64, then gateway.Script) gateway.Script {
	return func(c net.Conn, a *gateway.Arrival) bool {
		select {
		case <-time.After(time.Duration(luck(a.ID)%most) * time.Millisecond):
			return then(c, a)
		case <-a.Left:
			return false
		}
	}
}

// kindOf is the kind of a request, and from which event on it is to be answered.
func kindOf(a *gateway.Arrival) (kind string, from int) {
	// No number stands for none.
	_, _ = fmt.Sscan(a.Header.Get("Last-Event-Id"), &from)
	kind, _, _ = strings.Cut(strings.TrimPrefix(a.Target, "/"), "/")
	return kind, from
}

// answer answers whole, a stream event by event.
func answer(c net.Conn, a *gateway.Arrival) bool {
	kind, from := kindOf(a)
	if !streams(kind) {
		return gateway.Answer(Whole(kind, a.ID, 0))(c, a)
	}
	if _, err := io.WriteString(c, gateway.Head(a, 200, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")); err != nil {
		return false
	}
	for n := from + 1; n <= streamEvents; n++ {
		time.Sleep(eventPause)
		event := eventOf(a.ID, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// half breaks off in the middle.
func half(c net.Conn, a *gateway.Arrival) bool {
	kind, from := kindOf(a)
	whole := Whole(kind, a.ID, from)
	_, _ = io.WriteString(c, gateway.Head(a, 200, fmt.Sprintf("Content-Length: %d", len(whole)))+whole[:len(whole)/2])
	return false
}

// extra answers whole, and then to nobody.
func extra(c net.Conn, a *gateway.Arrival) bool {
	stale := *a
	stale.ID = "nobody"
	return answer(c, a) && gateway.Answer("for nobody")(c, &stale)
}
