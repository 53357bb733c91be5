package gateway

import (
	"time"

	"github.com/applepier/applepier/internal/boottime"
)

const (
	// othersAhead is by how much more than a call's wait others' proofs are ahead
	// of this gateway's own when the store doesn't answer it: a call that failed
	// once has been made again by then.
	othersAhead = 800 * time.Millisecond
	// turnedAway is for how long a store that turns this gateway away, while it
	// answers others, is tried again before callers are sent to those.
	turnedAway = 500 * time.Millisecond
)

// ready reports whether the balancer may send new connections here.
func (g *gateway) ready() bool {
	return !g.leaving.Load() && g.holder.Current() != nil && g.registry.Known() && !g.isolated()
}

// elsewhere reports whether callers are to go to another gateway.
func (g *gateway) elsewhere() bool { return g.leaving.Load() || g.isolated() }

// isolated reports whether callers are better served elsewhere: the store turns
// this gateway away while it answers others, on whose proofs alone it serves; or
// it is cut off from the store and from most other gateways, and refuses
// requests with a key. Where the store is away from all of them nobody would
// serve callers better, and public routes are served on.
func (g *gateway) isolated() bool {
	proved := g.holder.ProvenAt()
	usual := feedSilence + provedWithin(g.router.Bounds().Proof) + othersAhead
	if answered := boottime.Now()-proved <= usual; answered {
		own := time.Duration(g.desired.provenAt.Load())
		late := proved-own > g.proofWait()+othersAhead && !g.targetsTold()
		return late || g.desired.away() > turnedAway && proved > own
	}
	return !g.router.Fresh() && 2*g.mesh.Gateways() <= g.mesh.Listed()
}
