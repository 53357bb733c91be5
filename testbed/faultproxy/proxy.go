// Package faultproxy is a TCP proxy that injects faults: closed, refused, delayed
// and blackholed connections, and holds, which block a connection at a chosen
// message. It runs in the test process and is built on toxiproxy. Proxy is the
// main type.
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

// Names and values in toxiproxy's settings.
const (
	tapUp        = "tap_upstream"
	tapDown      = "tap_downstream"
	listenAddr   = "127.0.0.1:0"
	fullToxicity = 1.0
	streamUp     = "upstream"
	streamDown   = "downstream"
)

// setup registers the tap with toxiproxy and discards toxiproxy's log, once.
var setup = sync.OnceFunc(func() {
	toxics.Register(tapType, new(tap))
	logrus.SetOutput(io.Discard)
})

// Proxy forwards connections to one process. Its methods may be called during
// traffic, but not concurrently with each other.
type Proxy struct {
	proxy    *toxiproxy.Proxy
	up, down *tap
}

// New starts a proxy on a free port of 127.0.0.1 that forwards to the host:port upstream.
func New(name, upstream string) (*Proxy, error) {
	setup()
	inner := toxiproxy.NewProxy()
	inner.Name, inner.Listen, inner.Upstream = name, listenAddr, upstream
	p := &Proxy{proxy: inner}
	var err error
	if p.up, err = p.addTap(tapUp, streamUp); err != nil {
		return nil, err
	}
	if p.down, err = p.addTap(tapDown, streamDown); err != nil {
		return nil, err
	}
	if err := inner.Start(); err != nil {
		return nil, errors.Wrapf(err, "start proxy for %s", name)
	}
	return p, nil
}

// Addr returns the host:port on which the proxy listens.
func (p *Proxy) Addr() string {
	p.proxy.Lock()
	defer p.proxy.Unlock()
	return p.proxy.Listen
}

// CloseConnections closes all connections. New ones are accepted.
func (p *Proxy) CloseConnections() error {
	p.Refuse()
	return p.Accept()
}

// Refuse closes all connections and refuses new ones until Accept is called.
func (p *Proxy) Refuse() {
	p.up.closeAll()
	p.down.closeAll()
	p.proxy.Stop()
}

// Accept accepts connections again after Refuse.
func (p *Proxy) Accept() error {
	if err := p.proxy.Start(); err != nil {
		return errors.Wrap(err, "restart proxy")
	}
	return nil
}

// Blackhole permanently discards all data on the existing connections, in the
// given directions. Neither end is notified, not even when the other end closes.
// New connections work.
func (p *Proxy) Blackhole(directions ...Direction) {
	for _, direction := range directions {
		p.tap(direction).blackhole()
	}
}

// Delay delays all data in both directions. Each connection gets a random delay
// between minDelay and maxDelay, so that data of different connections is
// reordered; the order within a connection is kept. Zero for both ends the delay.
func (p *Proxy) Delay(minDelay, maxDelay time.Duration) {
	p.up.delay(minDelay, maxDelay)
	p.down.delay(minDelay, maxDelay)
}

// Hold blocks the first connection on which match accepts an event, before the
// event's data is forwarded.
func (p *Proxy) Hold(direction Direction, match Matcher) *Hold {
	return p.tap(direction).hold(match)
}

// Observe calls observe with every event in a direction, before its data is
// forwarded. observe must not block.
func (p *Proxy) Observe(direction Direction, observe func(Event)) {
	p.tap(direction).hold(func(event Event) bool {
		observe(event)
		return false
	})
}

// Close closes the proxy and all its connections and releases all holds.
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

// addTap adds a tap for one direction. It must be called before the proxy starts,
// since the tap is initialized only after toxiproxy has created it.
func (p *Proxy) addTap(name, direction string) (*tap, error) {
	if err := p.addToxic(name, direction); err != nil {
		return nil, err
	}
	t, ok := p.proxy.Toxics.GetToxic(name).Toxic.(*tap)
	if !ok {
		return nil, errors.Errorf("toxic %s is not a tap", name)
	}
	t.direction = Downstream
	if direction == streamUp {
		t.direction = Upstream
	}
	t.closed = make(chan struct{})
	return t, nil
}

// toxicAttributes is the empty attribute object of a tap; addTap sets the tap's fields.
type toxicAttributes struct{}

// toxicSettings is toxiproxy's JSON format of a toxic.
type toxicSettings struct {
	Name       string          `json:"name"`
	Type       string          `json:"type"`
	Stream     string          `json:"stream"`
	Toxicity   float32         `json:"toxicity"`
	Attributes toxicAttributes `json:"attributes"`
}

func (p *Proxy) addToxic(name, direction string) error {
	encoded, err := json.Marshal(toxicSettings{Name: name, Type: tapType, Stream: direction, Toxicity: fullToxicity})
	if err != nil {
		return errors.Wrapf(err, "encode toxic %s", name)
	}
	if _, err := p.proxy.Toxics.AddToxicJson(bytes.NewReader(encoded)); err != nil {
		return errors.Wrapf(err, "add toxic %s", name)
	}
	return nil
}
