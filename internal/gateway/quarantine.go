package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/policy"
)

const (
	// storedFor is for how long a request that was quarantined is quarantined by gateways
	// that start.
	storedFor = 24 * time.Hour
	// othersFirst is how long a gateway that starts waits at least for others to tell that
	// they know what is quarantined, before it asks the store; up to as much more is drawn, so
	// that of those that start together a few ask.
	othersFirst = 300 * time.Millisecond
	// toldInTurn is for how long it listens to them: dozens of requests are told in that
	// time.
	toldInTurn = 2 * time.Second
	// mostUnstored bounds the requests that wait for the store; all gateways know them
	// anyway as long as one of these runs.
	mostUnstored = 64
)

// Quarantine keeps requests that are quarantined beyond the life of all gateways.
type Quarantine interface {
	Read(ctx context.Context) ([]policy.Suspicion, error)
	Write(ctx context.Context, s policy.Suspicion) error
	Drop(ctx context.Context, f policy.Fingerprint) error
}

// keepQuarantine takes what was quarantined before this gateway started, and stores what it
// quarantines from then on.
func (g *gateway) keepQuarantine(ctx context.Context) {
	g.learnQuarantine(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.toQuarantine:
			g.untilDone(ctx, logging.EventQuarantineFailed, func(ctx context.Context) error {
				return g.platform.Quarantine.Write(ctx, s)
			})
		}
	}
}

// learnQuarantine has what is quarantined from other gateways, or, where none knows it, from
// the store.
func (g *gateway) learnQuarantine(ctx context.Context) {
	pause.For(ctx, othersFirst+rand.N(othersFirst))
	for listened := time.Duration(0); listened < toldInTurn; listened += learnEvery {
		if !g.mesh.Quarantined() {
			g.untilDone(ctx, logging.EventQuarantineFailed, g.readQuarantine)
			break
		}
		pause.For(ctx, learnEvery)
	}
	g.quarantineKnown.Store(true)
}

func (g *gateway) readQuarantine(ctx context.Context) error {
	all, err := g.platform.Quarantine.Read(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	var known []policy.Suspicion
	for _, s := range all {
		if now.Sub(s.LastCrash()) <= storedFor {
			s.Seen = now
			known = append(known, s)
			continue
		}
		if err := g.platform.Quarantine.Drop(ctx, s.Fingerprint); err != nil {
			// The next gateway that starts drops it.
			g.log.Warn(logging.EventQuarantineFailed, zap.Stringer("fingerprint", s.Fingerprint), logging.Reason(err.Error()))
		}
	}
	g.router.Suspect(known)
	return nil
}

// storeQuarantined stores a request that is quarantined from now on.
func (g *gateway) storeQuarantined(s policy.Suspicion) {
	select {
	case g.toQuarantine <- s:
	default:
		g.log.Warn(logging.EventQuarantineFailed, zap.Stringer("fingerprint", s.Fingerprint), logging.Reason("too many wait for the store"))
	}
}
