package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/entry/api"
	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/peer"
	"github.com/applepier/applepier/internal/platform"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/targets/store"
)

func (e *entry) adminRoutes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/readyz", e.serveReady)
	router.HandlerFunc(http.MethodGet, "/healthz", e.serveHealthy)
	router.Handler(http.MethodGet, peer.StatePath, peer.RequireKey(e.keys.system, peer.Handler(e.peerState)))
	return router
}

func (e *entry) peerState() peer.State {
	vms, _ := e.fleet.VMs()
	return peer.State{Process: e.settings.Process, Targets: e.holder.Current(), VMs: vms}
}

// askSeeds takes the place of the VM list while the platform is down.
func (e *entry) askSeeds(ctx context.Context) ([]platform.VM, error) {
	return peer.AskAny(ctx, e.settings.Seeds, e.keys.system, e.holder)
}

// followTargets polls the table service for newer targets.
func (e *entry) followTargets(ctx context.Context) {
	store.NewPoller(store.New(e.platform), e.holder, e.log).Run(ctx)
}

// Ended logs nothing of its own: the dispatcher has done so.
func (e *entry) Ended(class targets.Class, r dispatch.Result, took time.Duration) {
	e.log.Debug("request measured", zap.String("event", "request_measured"), zap.String("class", class.Name), zap.String("outcome", string(r.Outcome)), zap.Duration("took", took))
}

// callerAuth tells callers apart.
type callerAuth struct{ trustHeader bool }

func (e *entry) authenticator() api.Authenticator {
	return callerAuth{trustHeader: e.settings.Callers.TrustCustomerHeader}
}

// Caller takes the customer from the header.
func (c callerAuth) Caller(_ *targets.Set, r *http.Request) (string, error) {
	if name := r.Header.Get("X-Applepier-Customer"); name != "" {
		return name, nil
	}
	return "anonymous", nil
}
