package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/settings"
)

const (
	// serverListRenewalShare is the share of the bound on draining after which a gateway that polls
	// the store repeats its call for the list of backend servers, if nothing has confirmed the list.
	// The rest of the bound is for the repeated call and for passing the change on. The others receive
	// the confirmation before they are overdue, or they would all call the store at once.
	serverListRenewalShare = 0.5
	// serverListOverdueShare is the share of the bound after which the other gateways poll the store
	// themselves.
	serverListOverdueShare = 0.7
	// renewalMargin is how much sooner than a renewal is due the store should respond to a call that
	// has to confirm the list, and minServerListWait the shortest wait of such a call.
	renewalMargin     = 200 * time.Millisecond
	minServerListWait = 200 * time.Millisecond
)

// defaultDrainBound is the bound on draining where operators set none.
const defaultDrainBound = 2 * time.Second

// drainBound returns the time within which draining servers must get no more requests.
func drainBound(s settings.Gateway) time.Duration {
	if s.Drain.MaxDelay > 0 {
		return s.Drain.MaxDelay
	}
	return defaultDrainBound
}

// serverListAge returns how long ago the list of backend servers was last known to be complete.
func (g *gateway) serverListAge() time.Duration { return g.ageOf(g.servers.ConfirmedAt()) }

// stateAge returns how long ago the desired state in force was last known to be the newest.
func (g *gateway) stateAge() time.Duration { return g.ageOf(g.holder.ConfirmedAt()) }

// ageOf returns the time since a confirmation or, before the first one, since the start of the process.
func (g *gateway) ageOf(confirmedAt time.Duration) time.Duration {
	return boottime.Now() - max(confirmedAt, g.startedAt)
}

// serverListRenewalAge returns the age at which the list needs confirmation.
func (g *gateway) serverListRenewalAge() time.Duration {
	return time.Duration(serverListRenewalShare * float64(g.drainBound.Load()))
}

// confirmServerList confirms the list from a response for the desired state. All tables of the store
// share one version counter, so the list is complete if the store's newest version is one up to which
// the list is known.
func (g *gateway) confirmServerList(asOf time.Duration, newest follow.Position) {
	confirmed := g.servers.Confirm(asOf, newest)
	g.listConfirmsItself.Store(!confirmed || g.desiredStateWait() > g.serverListRenewalAge())
}

// serverListWait returns how long the store may hold a request for the list. The wait is short while
// only the responses for the list itself confirm it, because other tables change.
func (g *gateway) serverListWait() time.Duration {
	if !g.listConfirmsItself.Load() {
		return serverListMaxWait
	}
	return min(serverListMaxWait, max(g.serverListRenewalAge()-renewalMargin, minServerListWait))
}

// serverListNeedsRenewal reports whether the pending call for the list is to be repeated. The store may
// never respond to a call that it has accepted, while it responds to others. The calls that follow have a
// short wait, so that they confirm the list themselves.
func (g *gateway) serverListNeedsRenewal() bool {
	if g.serverListAge() <= g.serverListRenewalAge() {
		return false
	}
	g.listConfirmsItself.Store(true)
	return true
}

// serverListOverdue reports whether the list's age exceeds what it can reach while the gateways that
// poll the store receive responses and pass them on.
func (g *gateway) serverListOverdue() bool {
	return g.servers.Position() != 0 && g.serverListAge() > g.serverListOverdueAge()
}

// serverListOverdueAge returns the age above which the list is overdue.
func (g *gateway) serverListOverdueAge() time.Duration {
	return time.Duration(serverListOverdueShare * float64(g.drainBound.Load()))
}

// logServerListAge logs when the list's age exceeds the bound on draining, and when it no longer
// does. It is called by one goroutine only.
func (g *gateway) logServerListAge() {
	age := g.serverListAge()
	old := age > time.Duration(g.drainBound.Load())
	if old == g.serverListOld || g.servers.Position() == 0 {
		return
	}
	g.serverListOld = old
	if old {
		g.log.Warn(logging.EventServerListOld, zap.Duration("age", age), zap.Stringer("position", g.servers.Position()), zap.Bool("polling", g.servers.Live()))
		return
	}
	g.log.Info(logging.EventServerListConfirmed, zap.Stringer("position", g.servers.Position()))
}
