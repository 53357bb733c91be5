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
	// ErrClosed: the connection has ended.
	ErrClosed = errors.New("control connection is closed")
	// ErrBacklog: the peer does not read; the connection is given up.
	ErrBacklog = errors.New("control connection's send queue is full")
	// ErrMalformed: the peer sent what is no Message.
	ErrMalformed = errors.New("malformed control message")
)

const (
	// sendQueue bounds the messages that wait for a slow peer. At 256 a
	// burst of tickets fits; a peer that lets more pile up has stopped.
	sendQueue = 256
	// writeTimeout bounds one write; past it the peer has stopped reading.
	writeTimeout = 2 * time.Second
	// maxMessage bounds one message in bytes; the largest is a whole Set.
	maxMessage = 4 << 20
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
)

// Traffic counts what control costs a process.
type Traffic interface {
	// Sent and Received count one message of so many bytes.
	Sent(bytes int)
	Received(bytes int)
}

// Local is what a process's own side of all its connections shares.
type Local struct {
	// Clock stamps each message and observes the peers' stamps.
	Clock *timeline.Clock
	// TargetsVersion tells the version in force, sent with each message.
	TargetsVersion func() uint64
	// Traffic counts them.
	Traffic Traffic
}

// Conn is a control connection: typed messages over a WebSocket. Send never
// blocks; Receive is called from one goroutine.
type Conn struct {
	ws    *websocket.Conn
	local Local

	out    chan Message
	done   chan struct{}
	close  sync.Once
	writer conc.WaitGroup
}

// Dial opens a connection to an agent at addr (host:port) with the system key.
func Dial(ctx context.Context, addr, key string, local Local) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{"Authorization": {"Bearer " + key}}
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+ConnectPath, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return nil, errors.Wrap(err, "dial agent")
	}
	return newConn(ws, local), nil
}

// Accept takes a connection that an entry opens.
func Accept(w http.ResponseWriter, r *http.Request, local Local) (*Conn, error) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, errors.Wrap(err, "accept entry")
	}
	return newConn(ws, local), nil
}

func newConn(ws *websocket.Conn, local Local) *Conn {
	ws.SetReadLimit(maxMessage)
	c := &Conn{ws: ws, local: local, out: make(chan Message, sendQueue), done: make(chan struct{})}
	c.writer.Go(c.write)
	return c
}

// Send queues a message: ErrClosed when the connection has ended, ErrBacklog
// when the peer does not read, which also ends it.
func (c *Conn) Send(m Message) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.out <- m:
		return nil
	default:
		c.End()
		return ErrBacklog
	}
}

// Receive returns the next message. Any error ends the connection.
func (c *Conn) Receive(ctx context.Context) (Message, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		c.End()
		return Message{}, errors.Wrap(ErrClosed, err.Error())
	}
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		c.End()
		return Message{}, errors.Wrap(ErrMalformed, err.Error())
	}
	c.local.Traffic.Received(len(data))
	c.local.Clock.Observe(m.Stamp)
	return m, nil
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection and waits for its writer.
func (c *Conn) Close() {
	c.End()
	c.writer.Wait()
}

// End ends the connection. It does not wait for the peer: one that has gone
// silent would hold it.
func (c *Conn) End() {
	c.close.Do(func() {
		close(c.done)
		_ = c.ws.CloseNow()
	})
}

func (c *Conn) write() {
	for {
		select {
		case <-c.done:
			return
		case m := <-c.out:
			if err := c.writeOne(m); err != nil {
				c.End()
				return
			}
		}
	}
}

func (c *Conn) writeOne(m Message) error {
	m.Stamp = c.local.Clock.Now()
	m.Targets = c.local.TargetsVersion()
	data, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Wrap(err, "write message")
	}
	c.local.Traffic.Sent(len(data))
	return nil
}
