package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Values of the label direction.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// ControlTraffic counts the messages between the system's processes, excluding the
// bodies of requests and responses.
type ControlTraffic struct {
	sent     messageCounters
	received messageCounters
}

type messageCounters struct {
	messages gometrics.Counter
	bytes    gometrics.Counter
}

func newControlTraffic(registry gometrics.Registry) *ControlTraffic {
	return &ControlTraffic{
		sent:     newMessageCounters(registry, directionSent),
		received: newMessageCounters(registry, directionReceived),
	}
}

func newMessageCounters(registry gometrics.Registry, direction string) messageCounters {
	label := label{name: labelDirection, value: direction}
	return messageCounters{
		messages: counter(registry, familyControlMessages, label),
		bytes:    counter(registry, familyControlBytes, label),
	}
}

// Sent counts a message to another process and its size in bytes.
func (c *ControlTraffic) Sent(bytes int) { c.sent.count(bytes) }

// Received counts a message from another process and its size in bytes.
func (c *ControlTraffic) Received(bytes int) { c.received.count(bytes) }

func (c messageCounters) count(bytes int) {
	c.messages.Inc(1)
	c.bytes.Inc(int64(bytes))
}
