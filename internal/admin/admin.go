// Package admin implements the administration API of an entry: JSON over HTTP
// for reading and changing classes and customers and for inspecting the fleet.
// Start reading at Config and API.Register.
//
// Each response about targets carries their version, both in the "version"
// field and as the ETag. A change must send the version it is based on in
// If-Match. Without If-Match the response is 428; if the targets have changed
// since that version, it is 409 with the newer state. Changes are atomic and
// are accepted only after they are durable. With ?wait=14s the response is
// delayed until every process with a recent status has applied the change, or
// until the wait time is over. Durations are strings with a unit, such as
// "850ms". The response to an invalid request lists all its problems, each
// with a field and a reason.
package admin

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/auth"
	"github.com/applepier/applepier/internal/targets"
)

// Prefix is the path prefix of all administration API resources.
const Prefix = "/admin/v1"

// Store loads and changes the stored targets. targets/store.Store implements it.
type Store interface {
	// Load returns the newest targets.
	Load(ctx context.Context) (*targets.Set, error)
	// Change applies edit to the targets at version base and returns the new
	// targets once they are durable. Errors include *store.ConflictError,
	// *store.OutcomeUnknownError, store.ErrUnavailable, *targets.ValidationError and
	// the errors of edit.
	Change(ctx context.Context, base uint64, edit func(*targets.Set) error) (*targets.Set, error)
}

// Config holds the dependencies and the access key of an API.
type Config struct {
	// Store loads and changes the targets.
	Store Store
	// Targets holds the targets applied in this process. Accepted changes are
	// offered to it immediately.
	Targets *targets.Cache
	// Fleet reports the status of all processes and backend servers.
	Fleet Fleet
	// OperatorKey is the key that every request must carry. If it is empty, all
	// requests are rejected.
	OperatorKey string
	// Propagate is called with the version of a durable change before the
	// response is sent. It returns once another process has the version, or
	// after a short time if none could be reached. The change therefore takes
	// effect even if the table service goes down and this process dies right
	// after the response. May be nil.
	Propagate func(ctx context.Context, version uint64)
	// Log receives the API's log messages. Nil disables logging.
	Log *zap.Logger
}

// API serves the administration API over HTTP.
type API struct {
	store           Store
	targets         *targets.Cache
	fleet           Fleet
	propagate       func(ctx context.Context, version uint64)
	requireOperator auth.Middleware
	log             *zap.Logger
}

// New returns an API. Use Register to add its routes to a router.
func New(config Config) *API {
	log := config.Log
	if log == nil {
		log = zap.NewNop()
	}
	return &API{
		store:           config.Store,
		targets:         config.Targets,
		fleet:           config.Fleet,
		propagate:       config.Propagate,
		requireOperator: auth.RequireOperatorKey(config.OperatorKey),
		log:             log,
	}
}

// Register adds the routes of all resources to router.
func (a *API) Register(router *httprouter.Router) {
	a.handle(router, http.MethodGet, "/classes", a.listClasses)
	a.handle(router, http.MethodGet, "/classes/:name", a.getClass)
	a.handle(router, http.MethodPut, "/classes/:name", a.putClass)
	a.handle(router, http.MethodPatch, "/classes/:name", a.patchClass)
	a.handle(router, http.MethodDelete, "/classes/:name", a.retireClass)
	a.handle(router, http.MethodGet, "/customers", a.listCustomers)
	a.handle(router, http.MethodGet, "/customers/:name", a.getCustomer)
	a.handle(router, http.MethodPut, "/customers/:name", a.putCustomer)
	a.handle(router, http.MethodDelete, "/customers/:name", a.removeCustomer)
	a.handle(router, http.MethodGet, "/engines", a.listBackendServers)
	a.handle(router, http.MethodGet, "/status", a.status)
}

func (a *API) handle(router *httprouter.Router, method, path string, handler http.HandlerFunc) {
	router.Handler(method, Prefix+path, a.requireOperator(handler))
}

// resourceName returns the class or customer name in the request path.
func resourceName(r *http.Request) string {
	return httprouter.ParamsFromContext(r.Context()).ByName("name")
}
