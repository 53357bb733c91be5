package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Values of the label direction.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// Control counts the messages between the system's processes, without the
// callers' bodies and answers.
type Control struct {
	sent     traffic
	received traffic
}

type traffic struct {
	messages gometrics.Counter
	bytes    gometrics.Counter
}

func newControl(registry gometrics.Registry) *Control {
	return &Control{
		sent:     newTraffic(registry, directionSent),
		received: newTraffic(registry, directionReceived),
	}
}

func newTraffic(registry gometrics.Registry, direction string) traffic {
	label := label{name: labelDirection, value: direction}
	return traffic{
		messages: counter(registry, familyControlMessages, label),
		bytes:    counter(registry, familyControlBytes, label),
	}
}

// Sent counts a message of so many bytes to another process.
func (c *Control) Sent(bytes int) { c.sent.count(bytes) }

// Received counts a message of so many bytes from another process.
func (c *Control) Received(bytes int) { c.received.count(bytes) }

func (t traffic) count(bytes int) {
	t.messages.Inc(1)
	t.bytes.Inc(int64(bytes))
}
