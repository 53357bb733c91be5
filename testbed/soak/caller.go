package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// restPart is how much of the idle limit callers rest at the most.
	restPart = 0.8
	// patience is how long a caller waits for an answer: over twice the
	// longest time limit and the longest delays on its way.
	patience = 10 * time.Second
	// reconnectPause is between two tries to reach a gateway.
	reconnectPause = 50 * time.Millisecond
	host           = "h.example"
)

// caller sends requests to one gateway over a connection that it keeps until
// the gateway closes it.
type caller struct {
	name, gateway, addr string
	random              *rand.Rand
	state               *desired
	// took takes each call.
	took func(Call)

	conn   net.Conn
	in     *bufio.Reader
	before int
	ended  time.Time
}

// run calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for n := 0; ctx.Err() == nil; n++ {
		if c.conn == nil && !c.connect(ctx) {
			continue
		}
		if c.before > 0 {
			sleep(ctx, c.rest())
		}
		kinds := []string{kindSafe, kindUnsafe, kindUnsafe, kindStream, kindResume, kindOpen}
		kind, key := kinds[c.random.IntN(len(kinds))], ""
		if kind != kindOpen {
			key = c.state.drawKey(c.random)
		}
		call := c.call(fmt.Sprintf("%s-%d", c.name, n), kind, key)
		c.took(call)
		if call.Err != "" {
			sleep(ctx, reconnectPause)
		}
	}
}

// rest draws how long the connection rests before it is used again: a third not
// at all, a third as long as it may.
func (c *caller) rest() time.Duration {
	longest := restPart * float64(c.state.idleInForce())
	switch c.random.IntN(3) {
	case 0:
		return 0
	case 1:
		return time.Duration(longest)
	default:
		return time.Duration(c.random.Float64() * longest)
	}
}

func (c *caller) connect(ctx context.Context) bool {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		sleep(ctx, reconnectPause)
		return false
	}
	c.conn, c.in, c.before = conn, bufio.NewReader(conn), 0
	return true
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call sends one request and reads its answer. A connection that fails is left.
func (c *caller) call(id, kind, key string) (call Call) {
	call = Call{ID: id, Gateway: c.gateway, Kind: kind, Key: key, Before: c.before, Timeout: timeoutOf(kind), Stray: c.in.Buffered() > 0}
	if c.before > 0 {
		call.Rested = time.Since(c.ended)
	}
	body := "body of " + id
	request := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n", kind, host, id, len(body))
	if call.Key != "" {
		request += "Authorization: Bearer " + call.Key + "\r\n"
	}
	call.Sent = time.Now()
	_ = c.conn.SetDeadline(call.Sent.Add(patience))
	_, err := io.WriteString(c.conn, request+"\r\n"+body)
	call.Written = err == nil
	if err == nil {
		err = c.read(&call)
	}
	call.Done = time.Now()
	c.before++
	c.ended = call.Done
	if err != nil {
		call.Err = err.Error()
		c.hangUp()
	}
	return call
}

func (c *caller) read(call *Call) error {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	call.Status, call.Echoed, call.Signed = resp.StatusCode, resp.Header.Get("X-Request-Id"), resp.Header.Get("X-Signature") != ""
	body, err := io.ReadAll(resp.Body)
	call.Body, call.Whole = string(body), err == nil
	if err == nil && resp.Close {
		c.hangUp()
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
