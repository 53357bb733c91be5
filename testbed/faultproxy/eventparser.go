package faultproxy

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/internal/wire"
)

// protocol is the protocol detected on a connection.
type protocol int

const (
	protocolUnknown protocol = iota
	protocolRun
	protocolWebSocket
)

// Byte patterns that identify a connection's protocol and the frames of a response.
// Frames are CBOR maps whose first key, 1, is the kind. Their payload is JSON, which
// doesn't contain these bytes.
var (
	connectPrefix    = []byte("GET " + wire.ConnectPath)
	runPrefix        = []byte("POST " + wire.RunPath)
	upgradePrefix    = []byte("HTTP/1.1 101")
	responsePrefix   = []byte("HTTP/1.1 ")
	headerEnd        = []byte("\r\n\r\n")
	dataFramePattern = []byte{0x01, byte(wire.FrameData), 0x02}
	endFramePattern  = []byte{0xa1, 0x01, byte(wire.FrameEnd)}
	failFramePattern = []byte{0x01, byte(wire.FrameFail), 0x04}
)

// eventParser parses the data of one connection in one direction into events. It ignores
// data that it doesn't recognize.
type eventParser struct {
	direction  Direction
	connection int64
	protocol   protocol
	frames     frameParser
}

func (p *eventParser) parse(data []byte) []Event {
	switch {
	case bytes.HasPrefix(data, connectPrefix) || bytes.HasPrefix(data, upgradePrefix):
		p.protocol = protocolWebSocket
		_, data, _ = bytes.Cut(data, headerEnd)
	case bytes.HasPrefix(data, runPrefix):
		p.protocol = protocolRun
	case bytes.HasPrefix(data, responsePrefix):
		p.protocol = protocolRun
	}
	if p.protocol == protocolWebSocket {
		return p.parseMessages(data)
	}
	if p.protocol == protocolRun && p.direction == Downstream {
		return p.parseResponse(data)
	}
	if p.protocol == protocolRun {
		return []Event{{Direction: p.direction, Kind: EventBody, Connection: p.connection, Data: data}}
	}
	return nil
}

func (p *eventParser) parseMessages(data []byte) []Event {
	var events []Event
	for _, payload := range p.frames.parse(data) {
		message := new(wire.Message)
		if err := cbor.Unmarshal(payload, message); err == nil {
			events = append(events, Event{Direction: p.direction, Kind: EventMessage, Connection: p.connection, Message: message})
		}
	}
	return events
}

// parseResponse finds the frames in one chunk of a response. It misses frames whose
// identifying bytes are split between two chunks.
func (p *eventParser) parseResponse(data []byte) []Event {
	var events []Event
	for range bytes.Count(data, dataFramePattern) {
		events = append(events, Event{Direction: p.direction, Kind: EventData, Connection: p.connection, Data: data})
	}
	if bytes.Contains(data, endFramePattern) {
		events = append(events, Event{Direction: p.direction, Kind: EventEnd, Connection: p.connection})
	}
	if bytes.Contains(data, failFramePattern) {
		events = append(events, Event{Direction: p.direction, Kind: EventFail, Connection: p.connection})
	}
	return events
}
