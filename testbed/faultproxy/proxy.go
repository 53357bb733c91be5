// Package faultproxy puts a TCP proxy with faults before a process: cut,
// refused, delayed and silent connections, and holds, which stop a connection
// at a message that the test waits for. It runs inside the test process, on
// top of toxiproxy. Start reading at Proxy.
package faultproxy

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

// Names of the toxics on a proxy.
const (
	tapUp      = "tap_upstream"
	tapDown    = "tap_downstream"
	anyPort    = "127.0.0.1:0"
	allOfThem  = 1.0
	streamUp   = "upstream"
	streamDown = "downstream"
)

// setup registers the tap and silences toxiproxy's own log, once.
var setup = sync.OnceFunc(func() {
	toxics.Register(tapType, new(tap))
	logrus.SetOutput(io.Discard)
})

// Proxy stands before one process. Its methods may be called concurrently
// with traffic, but only one of them at a time.
type Proxy struct {
	proxy    *toxiproxy.Proxy
	up, down *tap
}

// New starts a proxy on a free port of 127.0.0.1 before a host:port.
func New(name, upstream string) (*Proxy, error) {
	setup()
	inner := toxiproxy.NewProxy()
	inner.Name, inner.Listen, inner.Upstream = name, anyPort, upstream
	p := &Proxy{proxy: inner}
	var err error
	if p.up, err = p.addTap(tapUp, streamUp); err != nil {
		return nil, err
	}
	if p.down, err = p.addTap(tapDown, streamDown); err != nil {
		return nil, err
	}
	if err := inner.Start(); err != nil {
		return nil, errors.Wrapf(err, "proxy before %s", name)
	}
	return p, nil
}

// Addr is the host:port to connect to instead of the process.
func (p *Proxy) Addr() string {
	p.proxy.Lock()
	defer p.proxy.Unlock()
	return p.proxy.Listen
}

// Cut closes all connections; new ones work.
func (p *Proxy) Cut() error {
	p.Refuse()
	return p.Accept()
}

// Refuse closes all connections and refuses new ones until Accept.
func (p *Proxy) Refuse() {
	p.up.endAll()
	p.down.endAll()
	p.proxy.Stop()
}

// Accept takes connections again after Refuse.
func (p *Proxy) Accept() error {
	if err := p.proxy.Start(); err != nil {
		return errors.Wrap(err, "proxy accepts again")
	}
	return nil
}

// Silence makes all connections of now go silent for good, in the given
// directions: nothing passes any more and neither end is told, not even that
// the other has closed. New connections work.
func (p *Proxy) Silence(directions ...Direction) {
	for _, direction := range directions {
		p.tap(direction).silence()
	}
}

// Delay delays all data in both directions, by a time that is drawn for each
// connection between least and most, so that connections overtake each other;
// data of one connection keeps its order. Zero ends it.
func (p *Proxy) Delay(least, most time.Duration) {
	p.up.delay(least, most)
	p.down.delay(least, most)
}

// Hold stops the first connection on which match sees what it waits for,
// before the data passes on.
func (p *Proxy) Hold(direction Direction, match Match) *Hold {
	return p.tap(direction).hold(match)
}

// Observe calls see with everything that passes in a direction, before it
// passes; see must not block.
func (p *Proxy) Observe(direction Direction, see func(Sight)) {
	p.tap(direction).hold(func(s Sight) bool {
		see(s)
		return false
	})
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.up.close()
	p.down.close()
	p.proxy.Stop()
}

func (p *Proxy) tap(direction Direction) *tap {
	if direction == Upstream {
		return p.up
	}
	return p.down
}

// addTap must be called before the proxy starts: the tap is filled in after
// toxiproxy has made it.
func (p *Proxy) addTap(name, direction string) (*tap, error) {
	if err := p.addToxic(name, direction); err != nil {
		return nil, err
	}
	t, ok := p.proxy.Toxics.GetToxic(name).Toxic.(*tap)
	if !ok {
		return nil, errors.Errorf("toxic %s is no tap", name)
	}
	t.direction = Downstream
	if direction == streamUp {
		t.direction = Upstream
	}
	t.released = make(chan struct{})
	return t, nil
}

// emptySettings are the attributes of a tap, which is filled in by hand.
type emptySettings struct{}

// toxicSettings is toxiproxy's own form of a toxic.
type toxicSettings struct {
	Name       string        `json:"name"`
	Type       string        `json:"type"`
	Stream     string        `json:"stream"`
	Toxicity   float32       `json:"toxicity"`
	Attributes emptySettings `json:"attributes"`
}

func (p *Proxy) addToxic(name, direction string) error {
	encoded, err := json.Marshal(toxicSettings{Name: name, Type: tapType, Stream: direction, Toxicity: allOfThem})
	if err != nil {
		return errors.Wrapf(err, "toxic %s", name)
	}
	if _, err := p.proxy.Toxics.AddToxicJson(bytes.NewReader(encoded)); err != nil {
		return errors.Wrapf(err, "toxic %s", name)
	}
	return nil
}
