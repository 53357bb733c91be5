// Package api is what callers see of an entry: the chat completions and
// models of OpenAI's HTTP API, and the plain services. It reads and checks a
// request, finds its class and customer, hands it to the dispatcher, and
// writes the one final answer. Start reading at API.Register.
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

// Header names of applepier's own.
const (
	// HeaderClass names the class of work.
	HeaderClass = "X-Applepier-Class"
	// HeaderOutcome says what became of the request.
	HeaderOutcome = "X-Applepier-Outcome"
	// HeaderRequest is the request's id, for support and the time line.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey makes repeats of a call run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// maxBody bounds a request's body in bytes; the long prompts of the lowest
	// tiers have some hundred kilobytes.
	maxBodyBytes = 4 << 20
	// bodyTimeout bounds the reading of a body from a slow caller.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds one write to a caller that stops reading.
	writeTimeout = 30 * time.Second
	// maxInFlight bounds the requests that an entry holds, as maxHeld bounds
	// the bytes of their bodies. At the target size an entry has 3,600/410 = 9
	// requests a second, so that this is far more than any queue that meets a
	// target.
	maxInFlight = 2048
	// busyRetryAfter is when to come back to an entry that is full.
	busyRetryAfter = 2 * time.Second
)

// Reasons why an entry itself refuses a request.
const (
	reasonEntryFull  = "entry_full"
	reasonBodiesFull = "bodies_full"
)

// Dispatcher carries a request to its final answer.
type Dispatcher interface {
	Do(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) dispatch.Result
}

// Served tells which models and services there are.
type Catalog interface {
	Serves() []string
}

// Authenticator finds the customer that sends a request.
type Authenticator interface {
	Customer(set *targets.Set, r *http.Request) (string, error)
}

// Observer hears what became of each request, for the metrics.
type Observer interface {
	// Received is called once for each request that is taken in.
	RequestReceived(class string)
	// Refused is called for a request that is turned away before its class is
	// certain; class is UnknownClass where it names none that there is.
	RequestRefused(class, reason string)
	// Ended is called once for each request that was received.
	RequestEnded(class targets.Class, r dispatch.Result, took time.Duration)
}

// Config is what an API works with.
type Config struct {
	Targets    *targets.Holder
	Dispatcher Dispatcher
	Catalog    Catalog
	Auth       Authenticator
	Claims     ClaimStore
	Grants     GrantVoider
	Observer   Observer
	Timeline   *timeline.Ring
	Log        *zap.Logger
}

// API serves callers.
type API struct {
	config Config

	bodyBudget bodyBudget

	mu       sync.Mutex
	inFlight int
}

// New returns an API.
func New(c Config) *API { return &API{config: c} }

// Register adds the callers' routes.
func (a *API) Register(router *httprouter.Router) {
	router.HandlerFunc(http.MethodPost, "/v1/chat/completions", a.limitInFlight(a.chat))
	router.HandlerFunc(http.MethodGet, "/v1/models", a.models)
	for _, method := range serviceMethods {
		router.HandlerFunc(method, "/services/:name/*path", a.limitInFlight(a.service))
	}
	router.NotFound = http.HandlerFunc(handleNotFound)
	router.MethodNotAllowed = http.HandlerFunc(handleMethodNotAllowed)
}

// serviceMethods are the methods that plain services are called with.
var serviceMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func handleNotFound(w http.ResponseWriter, r *http.Request) {
	refuseWithoutBody(w, r, apiError{status: http.StatusNotFound, code: "not_found", message: "there is no such path; see docs/API.md"})
}

// noMethod answers a path that there is under another method; the router has named those
// that it takes.
func handleMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	refuseWithoutBody(w, r, apiError{status: http.StatusMethodNotAllowed, code: "method_not_allowed", message: "the path doesn't take the method; see docs/API.md"})
}

// refuseUnread answers a request whose body hasn't been read, without waiting for it: a
// caller that sends none would get no answer until it leaves.
func refuseWithoutBody(w http.ResponseWriter, r *http.Request, e apiError) {
	unread.Answer(w, r, false, func() { writeError(w, e) })
}

// counted bounds the requests that are held at once.
func (a *API) limitInFlight(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !a.admit() {
			unread.Answer(w, r, false, func() { a.refuseAtCapacity(w, r, reasonEntryFull) })
			return
		}
		defer a.done()
		next(w, r)
	}
}

// UnknownClass stands in the metrics for the class of a request that was
// refused before it was known. No class can have this name.
const UnknownClass = "(unknown)"

// turnAway refuses a request for want of room before its class is certain.
func (a *API) refuseAtCapacity(w http.ResponseWriter, r *http.Request, reason string) {
	class := UnknownClass
	if named, ok := a.config.Targets.Current().Class(r.Header.Get(HeaderClass)); ok {
		class = named.Name
	}
	a.config.Observer.RequestRefused(class, reason)
	writeError(w, notRunError(reason, busyRetryAfter))
}

func (a *API) admit() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inFlight >= maxInFlight {
		return false
	}
	a.inFlight++
	return true
}

func (a *API) done() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// InFlight counts the requests that are held now.
func (a *API) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}
