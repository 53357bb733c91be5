package faultproxy

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/internal/wire"
)

// protocol is what a connection speaks.
type protocol int

const (
	protocolUnknown protocol = iota
	protocolRun
	protocolWebSocket
)

// Marks by which a connection's protocol and an answer's frames are known.
// Frames are CBOR maps whose first key, 1, is the kind; JSON, which is all
// they carry besides, holds no such bytes.
var (
	markConnect = []byte("GET " + wire.ConnectPath)
	markBody    = []byte("POST " + wire.RunPath)
	markUpgrade = []byte("HTTP/1.1 101")
	markAnswer  = []byte("HTTP/1.1 ")
	headEnd     = []byte("\r\n\r\n")
	markData    = []byte{0x01, byte(wire.FrameData), 0x02}
	markEnd     = []byte{0xa1, 0x01, byte(wire.FrameEnd)}
	markFail    = []byte{0x01, byte(wire.FrameFail), 0x04}
)

// reader makes out what passes on one connection in one direction. What it
// does not know it lets pass unseen.
type reader struct {
	direction Direction
	link      int64
	protocol  protocol
	frames    frameReader
}

func (r *reader) read(data []byte) []Sight {
	switch {
	case bytes.HasPrefix(data, markConnect) || bytes.HasPrefix(data, markUpgrade):
		r.protocol = protocolWebSocket
		_, data, _ = bytes.Cut(data, headEnd)
	case bytes.HasPrefix(data, markBody):
		r.protocol = protocolRun
	case bytes.HasPrefix(data, markAnswer):
		r.protocol = protocolRun
	}
	if r.protocol == protocolWebSocket {
		return r.messages(data)
	}
	if r.protocol == protocolRun && r.direction == Downstream {
		return r.answer(data)
	}
	if r.protocol == protocolRun {
		return []Sight{{Direction: r.direction, Kind: SightBody, Link: r.link, Data: data}}
	}
	return nil
}

func (r *reader) messages(data []byte) []Sight {
	var sights []Sight
	for _, payload := range r.frames.read(data) {
		message := new(wire.Message)
		if err := cbor.Unmarshal(payload, message); err == nil {
			sights = append(sights, Sight{Direction: r.direction, Kind: SightMessage, Link: r.link, Message: message})
		}
	}
	return sights
}

func (r *reader) answer(data []byte) []Sight {
	var sights []Sight
	for range bytes.Count(data, markData) {
		sights = append(sights, Sight{Direction: r.direction, Kind: SightData, Link: r.link, Data: data})
	}
	if bytes.Contains(data, markEnd) {
		sights = append(sights, Sight{Direction: r.direction, Kind: SightEnd, Link: r.link})
	}
	if bytes.Contains(data, markFail) {
		sights = append(sights, Sight{Direction: r.direction, Kind: SightFail, Link: r.link})
	}
	return sights
}
