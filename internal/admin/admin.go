// Package admin is the administration API of an entry, in JSON over HTTP, by
// which operators read and change classes and customers and see the fleet.
// Start reading at Config and API.Register.
//
// Each answer about targets carries their version, as "version" and as the
// ETag. A change names the version it was made upon in If-Match: without it
// the answer is 428, and 409 with the newer state when the targets have
// changed since. A change is whole or not at all, and is accepted only once it
// is durable; ?wait=14s holds the answer until the change is in force in all
// processes heard from. Durations are strings with a unit, as "850ms". A bad
// request is told all its problems at once, each with field and reason.
package admin

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/auth"
	"github.com/applepier/applepier/internal/targets"
)

// Prefix begins the path of every resource.
const Prefix = "/admin/v1"

// Store is where targets are kept; targets/store.Store is one.
type Store interface {
	Load(ctx context.Context) (*targets.Set, error)
	Change(ctx context.Context, base uint64, edit func(*targets.Set) error) (*targets.Set, error)
}

// Config is what an API works on.
type Config struct {
	// Store keeps the targets.
	Store Store
	// Holder has the targets in force here; accepted changes go there at once.
	Holder *targets.Holder
	// Fleet is what is known of the other processes.
	Fleet Fleet
	// OperatorKey is required of every request; empty refuses all.
	OperatorKey string
	// Spread is called with the version of a change that is durable, before
	// it is answered, and returns when another process has it or none has
	// been reached in a short time. A change is then in force also if the
	// table service goes down and this process dies with its answer. May be
	// nil.
	Spread func(ctx context.Context, version uint64)
	// Log may be nil.
	Log *zap.Logger
}

// API is the administration API.
type API struct {
	store  Store
	holder *targets.Holder
	fleet  Fleet
	spread func(ctx context.Context, version uint64)
	guard  auth.Middleware
	log    *zap.Logger
}

// New returns the API; Register brings it into a router.
func New(config Config) *API {
	log := config.Log
	if log == nil {
		log = zap.NewNop()
	}
	return &API{
		store:  config.Store,
		holder: config.Holder,
		fleet:  config.Fleet,
		spread: config.Spread,
		guard:  auth.Operator(config.OperatorKey),
		log:    log,
	}
}

// Register adds all resources to the router.
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
	a.handle(router, http.MethodGet, "/engines", a.listEngines)
	a.handle(router, http.MethodGet, "/status", a.status)
}

func (a *API) handle(router *httprouter.Router, method, path string, handler http.HandlerFunc) {
	router.Handler(method, Prefix+path, a.guard(handler))
}

// pathName is the name in the request's path.
func pathName(r *http.Request) string {
	return httprouter.ParamsFromContext(r.Context()).ByName("name")
}
