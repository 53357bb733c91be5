package wire

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/timeline"
)

// Errors of a connection.
var (
	// ErrClosed: the connection is closed.
	ErrClosed = errors.New("control connection is closed")
	// ErrSendQueueFull: the peer doesn't read fast enough; the connection is closed.
	ErrSendQueueFull = errors.New("control connection's send queue is full")
	// ErrMalformed: the peer sent data that isn't a Message; the connection is closed.
	ErrMalformed = errors.New("malformed control message")
)

const (
	// sendQueueSize bounds the messages that wait for a slow peer. 256 holds a burst of
	// tickets; a peer that falls further behind has stopped reading.
	sendQueueSize = 256
	// writeTimeout bounds one write; a peer that takes longer has stopped reading.
	writeTimeout = 2 * time.Second
	// maxMessageBytes bounds one message; the largest holds a whole targets.Set.
	maxMessageBytes = 4 << 20
	// dialTimeout bounds the dial and the WebSocket handshake.
	dialTimeout = 2 * time.Second
)

// TrafficCounter counts a process's control messages and their bytes.
type TrafficCounter interface {
	// Sent and Received count one message of the given encoded size.
	Sent(bytes int)
	Received(bytes int)
}

// Config holds what all control connections of a process share. All fields are
// required.
type Config struct {
	// Clock stamps outgoing messages and observes the stamps of incoming ones.
	Clock *timeline.Clock
	// TargetsVersion returns the version of the targets in force, which is sent with
	// each message.
	TargetsVersion func() uint64
	// Traffic counts the messages.
	Traffic TrafficCounter
}

// Conn is a control connection: typed messages over a WebSocket. Send never blocks.
// Receive must not be called concurrently.
type Conn struct {
	ws     *websocket.Conn
	config Config

	sendQueue chan Message
	done      chan struct{}
	closeOnce sync.Once
	writer    conc.WaitGroup
}

// Dial opens a connection to an agent at addr (host:port), authenticated with the
// system key. It times out after dialTimeout.
func Dial(ctx context.Context, addr, key string, config Config) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{"Authorization": {"Bearer " + key}}
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+ConnectPath, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return nil, errors.Wrap(err, "dial agent")
	}
	return newConn(ws, config), nil
}

// Accept upgrades an entry's HTTP request to a control connection.
func Accept(w http.ResponseWriter, r *http.Request, config Config) (*Conn, error) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, errors.Wrap(err, "accept entry")
	}
	return newConn(ws, config), nil
}

func newConn(ws *websocket.Conn, config Config) *Conn {
	ws.SetReadLimit(maxMessageBytes)
	c := &Conn{ws: ws, config: config, sendQueue: make(chan Message, sendQueueSize), done: make(chan struct{})}
	c.writer.Go(c.writeLoop)
	return c
}

// Send queues a message. It returns ErrClosed when the connection is closed, and
// ErrSendQueueFull when the peer doesn't read, which also closes the connection.
func (c *Conn) Send(m Message) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.sendQueue <- m:
		return nil
	default:
		c.CloseNow()
		return ErrSendQueueFull
	}
}

// Receive returns the next message. Errors are ErrClosed or ErrMalformed, and any of
// them closes the connection.
func (c *Conn) Receive(ctx context.Context) (Message, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		c.CloseNow()
		return Message{}, errors.Wrap(ErrClosed, err.Error())
	}
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		c.CloseNow()
		return Message{}, errors.Wrap(ErrMalformed, err.Error())
	}
	c.config.Traffic.Received(len(data))
	c.config.Clock.Observe(m.Stamp)
	return m, nil
}

// Done returns a channel that is closed with the connection.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection and waits for its writer goroutine.
func (c *Conn) Close() {
	c.CloseNow()
	c.writer.Wait()
}

// CloseNow closes the connection without a closing handshake, which a peer that doesn't
// respond would delay.
func (c *Conn) CloseNow() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.ws.CloseNow()
	})
}

func (c *Conn) writeLoop() {
	for {
		select {
		case <-c.done:
			return
		case m := <-c.sendQueue:
			if err := c.writeMessage(m); err != nil {
				c.CloseNow()
				return
			}
		}
	}
}

func (c *Conn) writeMessage(m Message) error {
	m.Stamp = c.config.Clock.Now()
	m.TargetsVersion = c.config.TargetsVersion()
	data, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Wrap(err, "write message")
	}
	c.config.Traffic.Sent(len(data))
	return nil
}
