// Package api implements the caller-facing HTTP API of an entry: OpenAI-compatible chat
// completions and model list, and calls to plain services. It reads and validates a
// request, determines its class and customer, passes it to the dispatcher, and writes
// exactly one final response. The routes are in API.Register.
package api

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/unread"
)

// Request and response headers specific to applepier.
const (
	// HeaderClass names the class of a request.
	HeaderClass = "X-Applepier-Class"
	// HeaderOutcome reports the outcome of a request in its response.
	HeaderOutcome = "X-Applepier-Outcome"
	// HeaderRequestID carries the request ID, for support and for finding the request in
	// the timeline.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey carries the idempotency key. Calls with the same key run at
	// most once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// maxBodyBytes limits a request body. Long prompts of the lowest tiers have some
	// hundred kilobytes.
	maxBodyBytes = 4 << 20
	// bodyTimeout limits reading the body from a slow caller.
	bodyTimeout = 30 * time.Second
	// writeTimeout limits one write to a caller that stops reading.
	writeTimeout = 30 * time.Second
	// maxInFlight limits the requests in flight, as maxBodyMemory limits the memory of
	// their bodies. At the target size an entry gets 3,600/410 = 9 requests a second, so
	// this is far more than any queue that still meets a latency target.
	maxInFlight = 2048
	// busyRetryAfter is the Retry-After of responses from an entry without capacity.
	busyRetryAfter = 2 * time.Second
)

// Reasons for which an entry refuses requests itself.
const (
	reasonEntryFull  = "entry_full"
	reasonBodiesFull = "bodies_full"
)

// Dispatcher runs a request on a backend server.
type Dispatcher interface {
	Do(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) dispatch.Result
}

// Catalog lists the available models and plain services.
type Catalog interface {
	Serves() []string
}

// Authenticator determines the customer that sent a request. Customer returns an error if
// the request has no valid credentials.
type Authenticator interface {
	Customer(set *targets.Set, r *http.Request) (string, error)
}

// Observer is notified of received requests and their outcomes, for the metrics.
type Observer interface {
	// RequestReceived is called once for each accepted request.
	RequestReceived(class string)
	// RequestRefused is called for a request that is refused before it is accepted, for
	// lack of capacity or because of what the caller sent. The class is UnknownClass if
	// the request names no existing class.
	RequestRefused(class, reason string)
	// RequestEnded is called once for each accepted request, with the time since it
	// arrived.
	RequestEnded(class targets.Class, r dispatch.Result, duration time.Duration)
}

// Config holds the dependencies of an API.
type Config struct {
	Targets    *targets.Cache
	Dispatcher Dispatcher
	Catalog    Catalog
	Auth       Authenticator
	Claims     ClaimStore
	Grants     GrantVoider
	Observer   Observer
	Timeline   *timeline.Ring
	Log        *zap.Logger
}

// API serves callers' requests. It is safe for concurrent use.
type API struct {
	config Config

	bodyBudget bodyBudget

	mu       sync.Mutex
	inFlight int
}

// New returns an API that uses the dependencies in c.
func New(c Config) *API { return &API{config: c} }

// Register adds the routes for callers to router.
func (a *API) Register(router *httprouter.Router) {
	router.HandlerFunc(http.MethodPost, "/v1/chat/completions", a.limitInFlight(a.chat))
	router.HandlerFunc(http.MethodGet, "/v1/models", a.models)
	for _, method := range serviceMethods {
		router.HandlerFunc(method, "/services/:name/*path", a.limitInFlight(a.service))
	}
	router.NotFound = http.HandlerFunc(handleNotFound)
	router.MethodNotAllowed = http.HandlerFunc(handleMethodNotAllowed)
}

// serviceMethods are the HTTP methods accepted for calls to plain services.
var serviceMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func handleNotFound(w http.ResponseWriter, r *http.Request) {
	refuseWithoutBody(w, r, apiError{status: http.StatusNotFound, code: "not_found", message: "there is no such path; see docs/API.md"})
}

// handleMethodNotAllowed responds to a known path with an unsupported method; the router
// has already set the Allow header.
func handleMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	refuseWithoutBody(w, r, apiError{status: http.StatusMethodNotAllowed, code: "method_not_allowed", message: "the path doesn't take the method; see docs/API.md"})
}

// refuseWithoutBody writes an error response without waiting for the request body: a
// caller that announces a body and doesn't send it would otherwise get no response until
// it disconnects.
func refuseWithoutBody(w http.ResponseWriter, r *http.Request, e apiError) {
	unread.Respond(w, r, false, func() { writeError(w, e) })
}

// limitInFlight refuses requests beyond maxInFlight.
func (a *API) limitInFlight(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !a.beginRequest() {
			unread.Respond(w, r, false, func() { a.refuseAtCapacity(w, r, reasonEntryFull) })
			return
		}
		defer a.endRequest()
		next(w, r)
	}
}

// UnknownClass is the class label in the metrics for requests that were refused before
// their class was determined. It is not a valid class name.
const UnknownClass = "(unknown)"

// refuseAtCapacity refuses a request for lack of capacity.
func (a *API) refuseAtCapacity(w http.ResponseWriter, r *http.Request, reason string) {
	a.refuse(w, r, notRunError(reason, busyRetryAfter))
}

// refuse refuses a request whose class has not been determined yet; the metrics count the
// class that its header names.
func (a *API) refuse(w http.ResponseWriter, r *http.Request, e apiError) {
	class := UnknownClass
	if named, ok := a.config.Targets.Current().Class(r.Header.Get(HeaderClass)); ok {
		class = named.Name
	}
	a.config.Observer.RequestRefused(class, e.metricsReason())
	writeError(w, e)
}

func (a *API) beginRequest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inFlight >= maxInFlight {
		return false
	}
	a.inFlight++
	return true
}

func (a *API) endRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// InFlight returns the number of requests in flight.
func (a *API) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}
