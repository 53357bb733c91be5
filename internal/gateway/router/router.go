// Package router proxies callers' requests to backend servers. It matches the route and the
// customer, has the policy choose a server, sends the request, and retries it if it did not run or
// may run more than once. protocol.Dialect defines the names of application-specific HTTP headers.
// Start reading at Router.ServeHTTP.
package router

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/policy"
)

const (
	// DefaultTimeout applies to requests whose route sets no timeout. A caller can shorten either.
	DefaultTimeout = 60 * time.Second
	// writeGrace is how long after its deadline a response may still be written: a few times the
	// delay caused by a lost packet. Without it, a caller that stops reading could hold its share
	// of the memory, and delay a graceful shutdown, for as long as it likes.
	writeGrace = 2 * time.Second
)

// Router is an http.Handler that proxies requests to backend servers.
type Router struct {
	Config
	// mu guards the Chooser, the Ejector, the prefix index, Random and the policy state below:
	// services, unresponsive, quarantine, limits, backoffs and updates. It comes after the Registry's
	// lock in the lock order. While it is held, Peers, ZonePeers, ListedGateways and KnownGateways may be called
	// and may acquire locks of their own, but none that is held during calls of the Registry or the
	// Router; no other lock is acquired.
	mu           sync.Mutex
	services     map[string]*serviceState
	unresponsive *policy.UnresponsiveServers
	quarantine   *policy.Quarantine
	limits       *policy.ServerLimits
	backoffs     *policy.ServerBackoffs
	updates      updateBuffer
	limitedSends atomic.Int64
	bounds       atomic.Pointer[Bounds]
	memory       memoryLimiter
	// shutdown is set during a graceful shutdown.
	shutdown atomic.Pointer[shutdown]
	// longestStreamWait is the result of LongestStreamWait.
	longestStreamWait longestWait
	closeConnections  func() bool
	// createdAt is the time of New on the clock of package boottime.
	createdAt time.Duration
}

// New returns a Router. closeConnections reports whether callers should move to another gateway; if
// so, their connections are closed after the response.
func New(c Config, bounds Bounds, closeConnections func() bool) *Router {
	r := &Router{
		Config: c, services: map[string]*serviceState{}, unresponsive: policy.NewUnresponsiveServers(), quarantine: policy.NewQuarantine(),
		limits: policy.NewServerLimits(time.Now()), backoffs: policy.NewServerBackoffs(c.Random), closeConnections: closeConnections, createdAt: boottime.Now(),
	}
	r.SetBounds(bounds)
	return r
}

// SetBounds replaces the bounds. It is safe for concurrent use.
func (r *Router) SetBounds(b Bounds) { r.bounds.Store(&b) }

// Bounds returns the current bounds.
func (r *Router) Bounds() Bounds { return *r.bounds.Load() }

// ServeHTTP proxies one request.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c := &call{router: r, w: w, req: req, arrivedAt: time.Now(), params: r.Dialect.ParseRequest(req)}
	if r.closeConnections() {
		w.Header().Set("Connection", "close")
	}
	if !c.matchAndAuthorize() {
		return
	}
	r.longestStreamWait.observe(c.route, c.params.Timeout)
	if !c.reserveMemory() {
		c.refuse(ReasonMemoryLimit, refusedRetryAfter)
		return
	}
	defer c.releaseMemory()
	if !c.readBody() {
		return
	}
	// This fails only if the connection is gone.
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeGrace))
	ctx, cancel := context.WithDeadline(req.Context(), c.deadline)
	defer cancel()
	c.run(ctx)
	if c.callerDisconnected {
		// If the handler returned without a response, net/http would send a 200 to a caller that
		// has closed only its sending side.
		panic(http.ErrAbortHandler)
	}
}

// matchAndAuthorize finds the request's route and customer. If the request cannot be served, it
// responds and reports false.
func (c *call) matchAndAuthorize() bool {
	r := c.router
	// Freshness is read first, since a later confirmation may be that of a later state.
	fresh := r.StateFresh()
	snapshot := r.Holder.Current()
	if snapshot == nil {
		c.refuse(ReasonNoState, stateRetryAfter)
		return false
	}
	c.stateVersion = snapshot.Version
	c.route = snapshot.Match(c.req.Host, c.req.URL.Path)
	switch {
	case c.route == nil && !fresh:
		c.refuse(ReasonStateNotFresh, stateRetryAfter)
		return false
	case c.route == nil:
		c.respondError(http.StatusNotFound, ReasonNoRoute)
		return false
	case c.params.ID == "":
		c.respondError(http.StatusBadRequest, ReasonNoRequestID)
		return false
	}
	if limit := snapshot.Limits.MaxHeaderBytes; limit > 0 && requestHeaderSize(c.req) > limit {
		c.respondError(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge)
		return false
	}
	c.bodyLimit = snapshot.Limits.MaxBodyBytes
	c.setDeadline()
	customer, known := snapshot.CustomerByKey(c.params.Key)
	if known {
		c.customer = customer.Name
	}
	c.urgency = snapshot.Urgency(c.route, customer, protocol.UrgencyLevels)
	if !snapshot.RequiresKey(c.route) || known && fresh {
		return true
	}
	if !fresh {
		// The key may have been revoked, or added, since the last confirmation.
		c.refuse(ReasonStateNotFresh, stateRetryAfter)
		return false
	}
	c.respondError(http.StatusUnauthorized, ReasonUnknownKey)
	return false
}

// setDeadline sets when the response must be complete.
func (c *call) setDeadline() {
	timeout := DefaultTimeout
	if c.route.Timeout > 0 {
		timeout = c.route.Timeout
	}
	if c.params.Timeout > 0 {
		timeout = min(timeout, c.params.Timeout)
	}
	c.deadline = c.arrivedAt.Add(timeout)
}

// requestHeaderSize returns the size of the request line and the headers in bytes.
func requestHeaderSize(req *http.Request) int {
	// The separators of a line: a colon and a space, or two spaces in the request line, and CRLF.
	const lineOverhead = 4
	n := len(req.Method) + len(req.RequestURI) + len(req.Proto) + len("Host") + len(req.Host) + 2*lineOverhead
	for name, values := range req.Header {
		for _, value := range values {
			n += len(name) + len(value) + lineOverhead
		}
	}
	return n
}

// StateFresh reports whether the desired state was confirmed recently enough to serve requests
// whose API keys may have been revoked.
func (r *Router) StateFresh() bool {
	bound, confirmedAt := r.Bounds().MaxStateAge, r.Holder.ConfirmedAt()
	// Without a confirmation its time is 0, which is recent on a host that has just started.
	return bound == 0 || confirmedAt != 0 && boottime.Now()-confirmedAt <= bound
}

// stateAge returns the time since the desired state was last confirmed or, before the first
// confirmation, since the Router was made.
func (r *Router) stateAge() time.Duration {
	return boottime.Now() - max(r.Holder.ConfirmedAt(), r.createdAt)
}

// readBody reads the complete body. If that fails, it responds and reports false. If the body breaks
// off, it panics with http.ErrAbortHandler instead.
func (c *call) readBody() bool {
	if c.req.Body == nil || c.req.Body == http.NoBody {
		return true
	}
	body := io.Reader(c.req.Body)
	if c.bodyLimit > 0 {
		body = http.MaxBytesReader(c.w, c.req.Body, c.bodyLimit)
	}
	if c.req.ContentLength < 0 {
		body = &reservingReader{Reader: body, call: c, unreserved: unknownBodySize}
	}
	c.bodyReadStarted = true
	// net/http clears the read deadline when the end of the body has been read.
	_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline)
	var err error
	c.body, err = readAll(body, c.req.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		c.respondError(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	case errors.Is(err, errMemoryLimit):
		c.bodyUnread = true
		c.refuse(ReasonMemoryLimit, refusedRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.bodyTimedOut = true
		c.respondError(http.StatusRequestTimeout, ReasonBodyTimeout)
	default:
		c.reportEnd(0, ReasonBodyIncomplete)
		panic(http.ErrAbortHandler)
	}
	return false
}

// readAll reads a body of the given length, -1 if unknown. It allocates the buffer at once if the
// length is known and at most 1 MiB.
func readAll(body io.Reader, length int64) ([]byte, error) {
	const maxPreallocated = 1 << 20
	if length < 0 || length > maxPreallocated {
		return io.ReadAll(body)
	}
	buffer := make([]byte, length)
	_, err := io.ReadFull(body, buffer)
	if err != nil {
		return nil, err
	}
	// Also read the end of the body, because only then net/http starts to detect a disconnect of
	// the caller.
	if _, err := body.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return buffer, nil
}
