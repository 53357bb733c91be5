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
	// maxIdleFraction is the largest fraction of the idle timeout for which a
	// caller leaves a connection idle.
	maxIdleFraction = 0.8
	// callerTimeout is how long a caller waits for a response: more than the
	// longest path delay in each direction plus twice the longest route timeout.
	callerTimeout = 10 * time.Second
	// maxResumptions is how often a caller resumes one stream.
	maxResumptions = 3
	// reconnectDelay is the delay before a caller connects again.
	reconnectDelay = 50 * time.Millisecond
	// host is the host of all routes.
	host = "h.example"
)

// caller sends requests to one gateway over a persistent connection, which it
// keeps open until the gateway closes it or a request fails.
type caller struct {
	name, gateway, addr string
	random              *rand.Rand
	state               *stateGenerator
	// record is called with each finished call.
	record func(Call)
	// others are the gateways at which the caller resumes streams.
	others []*gatewayProcess
	// prompts is whether requests have prompts.
	prompts bool
	// failurePause is how long the caller waits after a request that wasn't served.
	failurePause time.Duration

	conn         net.Conn
	reader       *bufio.Reader
	requestCount int
	lastResponse time.Time
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for n := 0; ctx.Err() == nil; n++ {
		if c.conn == nil && !c.connect(ctx) {
			continue
		}
		if c.requestCount > 0 {
			sleep(ctx, c.drawIdleTime())
		}
		kinds := []string{kindSafe, kindUnsafe, kindUnsafe, kindStream, kindResume, kindOpen}
		kind, key := kinds[c.random.IntN(len(kinds))], ""
		if kind != kindOpen {
			key = c.state.drawKey(c.random)
		}
		call := Call{ID: fmt.Sprintf("%s-%d", c.name, n), Kind: kind, Key: key}
		if c.prompts {
			call.Segments = soundSegments(call.ID)
		}
		call = c.send(call)
		c.record(call)
		c.resume(ctx, call)
		if call.Err != "" {
			sleep(ctx, reconnectDelay)
		}
		c.waitAfterFailure(ctx, call)
	}
}

// waitAfterFailure waits for failurePause after a call that wasn't served.
func (c *caller) waitAfterFailure(ctx context.Context, call Call) {
	if call.Err != "" || !isSuccess(call.Status) {
		sleep(ctx, c.failurePause)
	}
}

// drawIdleTime draws how long the connection stays idle before its next request:
// zero in a third of the cases, the maximum in another third, else a random time.
func (c *caller) drawIdleTime() time.Duration {
	longest := maxIdleFraction * float64(c.state.minIdleTimeout())
	switch c.random.IntN(3) {
	case 0:
		return 0
	case 1:
		return time.Duration(longest)
	default:
		return time.Duration(c.random.Float64() * longest)
	}
}

// connect opens a new connection. If that fails, it waits for reconnectDelay and
// returns false.
func (c *caller) connect(ctx context.Context) bool {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		sleep(ctx, reconnectDelay)
		return false
	}
	c.conn, c.reader, c.requestCount = conn, bufio.NewReader(conn), 0
	return true
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// resume resumes a stream that broke off, or that the caller left, at other gateways
// until it is complete.
func (c *caller) resume(ctx context.Context, broken Call) {
	received := broken.Body
	for n := 1; n <= maxResumptions && broken.canResume() && ctx.Err() == nil && len(c.others) > 0; n++ {
		other := c.others[int(hashID(broken.ID)%uint64(len(c.others)))]
		again := &caller{gateway: other.name, addr: other.frontProxy.addr(), random: c.random, state: c.state}
		if !again.connect(ctx) {
			continue
		}
		call := again.send(Call{
			ID: fmt.Sprintf("%s-again-%d", broken.stream(), n), Kind: broken.Kind, Key: broken.Key,
			Resumes: broken.stream(), After: eventCount(received), Segments: broken.Segments,
		})
		again.closeConn()
		c.record(call)
		received += call.Body
		broken = call
		sleep(ctx, reconnectDelay)
		c.waitAfterFailure(ctx, call)
	}
}

// send sends one request, given its ID, kind, key and the stream that it resumes, and
// reads its response. It closes the connection if either fails.
func (c *caller) send(call Call) Call {
	call.Gateway, call.Before, call.Timeout, call.Stray = c.gateway, c.requestCount, routeTimeout(call.Kind), c.reader.Buffered() > 0
	if c.requestCount > 0 {
		call.Rested = time.Since(c.lastResponse)
	}
	body := "body of " + call.ID
	request := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n", call.Kind, host, call.ID, len(body))
	if call.Resumes != "" {
		request += fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", call.Resumes, call.After)
	}
	if call.Segments != "" {
		request += "X-Token-Count: 100,10\r\nX-Prefix-Hash: " + call.Segments + "\r\n"
	}
	if call.Key != "" {
		request += "Authorization: Bearer " + call.Key + "\r\n"
	}
	call.Sent = time.Now()
	_ = c.conn.SetDeadline(call.Sent.Add(callerTimeout))
	_, err := io.WriteString(c.conn, request+"\r\n"+body)
	call.Written = err == nil
	if err == nil {
		err = c.readResponse(&call)
	}
	call.Done = time.Now()
	c.requestCount++
	c.lastResponse = call.Done
	if err != nil {
		call.Err = err.Error()
		c.closeConn()
	}
	return call
}

// readResponse reads the response of a call into it, and closes the connection if
// the response asks for that.
func (c *caller) readResponse(call *Call) error {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	call.Status, call.Echoed, call.Signed = resp.StatusCode, resp.Header.Get("X-Request-Id"), resp.Header.Get("X-Signature") != ""
	if call.leavesEarly() && isSuccess(call.Status) {
		call.Body, call.Left = readEvents(resp.Body, int(hashID(call.ID)%(streamEventCount-1))+1), true
		c.closeConn()
		return nil
	}
	body, err := io.ReadAll(resp.Body)
	call.Body, call.Whole = string(body), err == nil
	if err == nil && resp.Close {
		c.closeConn()
	}
	return err
}

// readEvents reads at least the given number of events, or up to the end or an error.
func readEvents(body io.Reader, count int) string {
	received, buffer := "", make([]byte, 4096)
	for eventCount(received) < count {
		n, err := body.Read(buffer)
		received += string(buffer[:n])
		if err != nil {
			break
		}
	}
	return received
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
