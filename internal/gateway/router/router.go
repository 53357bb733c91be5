// Package router carries callers' requests to backend servers and their
// answers back: it finds the route and the customer, has the policy choose a
// server, sends, and sends again where that is certain to do no harm. It
// doesn't know how headers are called. Start reading at Router.ServeHTTP.
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
	// defaultPatience bounds a request whose caller and route both don't.
	defaultTimeout = 60 * time.Second
	// takeTime is how long after its answer is due a caller may still take it: a
	// few times what a lost packet costs. One that reads no more would keep its
	// part of the memory, and hold up a graceful stop, for as long as it likes.
	writeGrace = 2 * time.Second
)

// Router serves callers. It implements http.Handler.
type Router struct {
	Config
	// mu guards the policy's parts: the Chooser, the Ejector, the index and services. It
	// comes after the Registry's lock; nothing is locked while it is held.
	mu               sync.Mutex
	services         map[string]*serviceState
	unresponsive     *policy.Unresponsive
	quarantine       *policy.Quarantine
	limits           *policy.ServerLimits
	updates          updateBuffer
	limitedSends     atomic.Int64
	bounds           atomic.Pointer[Bounds]
	memory           memoryLimiter
	closeConnections func() bool
}

// New returns a Router. Elsewhere reports whether callers are to go to another
// gateway: connections are closed after their answer.
func New(c Config, bounds Bounds, closeConnections func() bool) *Router {
	r := &Router{
		Config: c, services: map[string]*serviceState{}, unresponsive: policy.NewUnresponsive(), quarantine: policy.NewQuarantine(),
		limits: policy.NewServerLimits(), closeConnections: closeConnections,
	}
	r.SetBounds(bounds)
	return r
}

// SetBounds puts other bounds in force.
func (r *Router) SetBounds(b Bounds) { r.bounds.Store(&b) }

// Bounds are those in force.
func (r *Router) Bounds() Bounds { return *r.bounds.Load() }

// ServeHTTP carries one request.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c := &call{router: r, w: w, req: req, arrivedAt: time.Now(), params: r.Dialect.Ask(req)}
	if r.closeConnections() {
		w.Header().Set("Connection", "close")
	}
	if !c.admit() {
		return
	}
	reserved, ok := r.memory.acquire(req.ContentLength, r.Bounds().Held)
	if !ok {
		c.refuse(ReasonMemoryLimit, refusedRetryAfter)
		return
	}
	defer r.memory.release(reserved)
	if !c.readBody() {
		return
	}
	// Where it can't be set the connection is gone.
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeGrace))
	ctx, cancel := context.WithDeadline(req.Context(), c.deadline)
	defer cancel()
	c.run(ctx)
	if c.callerGone {
		// Without an answer net/http would give one of its own, a success, to a
		// caller that closed only its sending side.
		panic(http.ErrAbortHandler)
	}
}

// admit finds the request's route and customer, or answers it.
func (c *call) admit() bool {
	r := c.router
	set := r.Holder.Current()
	if set == nil {
		c.refuse(ReasonNoState, stateRetryAfter)
		return false
	}
	c.stateVersion = set.Version
	fresh := r.Fresh()
	c.route = set.Match(c.req.Host, c.req.URL.Path)
	switch {
	case c.route == nil && !fresh:
		c.refuse(ReasonStateNotFresh, stateRetryAfter)
		return false
	case c.route == nil:
		c.respondError(http.StatusNotFound, ReasonNoRoute)
		return false
	case c.params.ID == "":
		c.respondError(http.StatusBadRequest, ReasonNoID)
		return false
	}
	if limit := set.Limits.HeaderBytes; limit > 0 && requestHeaderSize(c.req) > limit {
		c.respondError(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge)
		return false
	}
	c.bodyLimit = set.Limits.BodyBytes
	c.setDeadline()
	customer, known := set.CustomerByKey(c.params.Key)
	if known {
		c.customer = customer.Name
	}
	c.urgency = set.Urgency(c.route, customer, protocol.Levels)
	if !set.RequiresKey(c.route) || known && fresh {
		return true
	}
	if !fresh {
		// The key may have been taken away, or added, since.
		c.refuse(ReasonStateNotFresh, stateRetryAfter)
		return false
	}
	c.respondError(http.StatusUnauthorized, ReasonNoKey)
	return false
}

// bound sets when the final answer is due.
func (c *call) setDeadline() {
	timeout := defaultTimeout
	if c.route.Timeout > 0 {
		timeout = c.route.Timeout
	}
	if c.params.Patience > 0 {
		timeout = min(timeout, c.params.Patience)
	}
	c.deadline = c.arrivedAt.Add(timeout)
}

// headerBytes is the size of a request's head.
func requestHeaderSize(req *http.Request) int {
	const lineOverhead = 4
	n := len(req.Method) + len(req.RequestURI) + len(req.Proto) + len("Host") + len(req.Host) + 2*lineOverhead
	for name, values := range req.Header {
		for _, value := range values {
			n += len(name) + len(value) + lineOverhead
		}
	}
	return n
}

// Fresh reports whether the desired state is proved to be new enough for
// requests whose keys may be taken away.
func (r *Router) Fresh() bool {
	bound := r.Bounds().Proof
	return bound == 0 || boottime.Now()-r.Holder.ProvenAt() <= bound
}

// readBody reads the whole body, or answers the request.
func (c *call) readBody() bool {
	if c.req.Body == nil || c.req.Body == http.NoBody {
		return true
	}
	body := io.Reader(c.req.Body)
	if c.bodyLimit > 0 {
		body = http.MaxBytesReader(c.w, c.req.Body, c.bodyLimit)
	}
	c.bodyRead = true
	// net/http takes the deadline away when the body's end has been read.
	_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline)
	var err error
	c.body, err = readAll(body, c.req.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		c.respondError(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.bodyLate = true
		c.respondError(http.StatusRequestTimeout, ReasonBodyTimeout)
	default:
		c.reportEnd(0, ReasonBodyIncomplete)
		panic(http.ErrAbortHandler)
	}
	return false
}

// readAll reads a body whose length is known, or -1, without growing a buffer
// step by step where that can be helped.
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
	// The end has to be read too, before net/http watches for callers that
	// leave.
	if _, err := body.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return buffer, nil
}
