package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/policy"
)

const (
	// storedFor is for how long a request that was held back is held back by gateways
	// that start.
	storedFor = 24 * time.Hour
	// mostUnstored bounds the requests that wait for the store; all gateways know them
	// anyway as long as one of these runs.
	mostUnstored = 64
)

// Quarantine keeps requests that are held back beyond the life of all gateways.
type Quarantine interface {
	Read(ctx context.Context) ([]policy.Suspicion, error)
	Write(ctx context.Context, s policy.Suspicion) error
	Drop(ctx context.Context, f policy.Fingerprint) error
}

// keepQuarantine takes what was held back before this gateway started, and stores what it
// holds back from then on.
func (g *gateway) keepQuarantine(ctx context.Context) {
	g.untilDone(ctx, logging.EventQuarantineFailed, g.readQuarantine)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.heldBack:
			g.untilDone(ctx, logging.EventQuarantineFailed, func(ctx context.Context) error {
				return g.platform.Quarantine.Write(ctx, s)
			})
		}
	}
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

// holdBack has a request stored that is held back from now on.
func (g *gateway) holdBack(s policy.Suspicion) {
	select {
	case g.heldBack <- s:
	default:
		g.log.Warn(logging.EventQuarantineFailed, zap.Stringer("fingerprint", s.Fingerprint), logging.Reason("too many wait for the store"))
	}
}
