package zonerouting

import (
	"math"
	"time"
)

const (
	// maxInformationAge is the age up to which figures of a zone count fully; beyond it, what is sent
	// there is halved every informationHalfLife.
	maxInformationAge   = 3 * time.Second
	informationHalfLife = time.Second
	// reversalDelay is how long a pair of zones isn't used in one direction after it was used in the
	// other. Gateways learn of a zone's load at slightly different times; the delay is several times
	// that difference, so that the zones don't send to each other at once.
	reversalDelay = time.Second
	// minFraction is the smallest share that is used: below it one request in a hundred would show
	// nothing of the other zone's load.
	minFraction = 0.01
)

// Planner plans for one service. The zero value is ready to use. Not safe for concurrent use.
type Planner struct {
	demands map[string]*smoothedDemand
	// usedAt is when a plan last used a pair of zones, from the first to the second. active holds the
	// pairs that the last plan used.
	usedAt map[[2]string]time.Time
	active map[[2]string]bool
}

// Plan returns the shares of all pairs of zones that have a Link which is usable. A pair that the
// previous plan didn't use is used only if that pays although both zones' demands were misjudged by
// startTolerance. The two directions of a pair are never used at once, and no zone both sends and
// receives.
func (p *Planner) Plan(now time.Time, zones []Zone, link func(from, to string) Link, price Price) map[[2]string]Share {
	s := newSolver(len(zones))
	for i := range zones {
		s.setZone(i, &zones[i], p.demand(now, &zones[i]))
	}
	shares := map[[2]string]Share{}
	for i := range zones {
		for j := range zones {
			pair := [2]string{zones[i].Name, zones[j].Name}
			l := link(pair[0], pair[1])
			if i == j || !l.Usable {
				continue
			}
			shares[pair] = Share{Reason: ReasonNone}
			if now.Sub(p.usedAt[[2]string{pair[1], pair[0]}]) < reversalDelay {
				continue
			}
			if cost := float64(price.CrossingCost(l)) / float64(time.Millisecond); cost >= 0 {
				s.addPair(i, j, cost, now.Sub(zones[j].KnownAt), p.active[pair])
			}
		}
	}
	s.solve()
	p.active = map[[2]string]bool{}
	for _, c := range s.pairs {
		pair := [2]string{zones[c.from].Name, zones[c.to].Name}
		if share := shareOf(now, c.fraction, &zones[c.from], &zones[c.to]); share.Fraction > 0 {
			shares[pair] = share
			p.markUsed(now, pair)
		}
	}
	return shares
}

// demand returns the smoothed demand of a zone.
func (p *Planner) demand(now time.Time, z *Zone) float64 {
	if p.demands == nil {
		p.demands, p.usedAt = map[string]*smoothedDemand{}, map[[2]string]time.Time{}
	}
	d := p.demands[z.Name]
	if d == nil {
		d = &smoothedDemand{}
		p.demands[z.Name] = d
	}
	return d.observe(now, z.Demand)
}

func (p *Planner) markUsed(now time.Time, pair [2]string) {
	p.active[pair] = true
	p.usedAt[pair] = now
}

// shareOf returns the share for a solved fraction, reduced for the age of what is known of the
// receiving zone.
func shareOf(now time.Time, fraction float64, from, to *Zone) Share {
	share := Share{Fraction: min(fraction, 1), Reason: ReasonSooner}
	if from.Capacity <= 0 {
		share.Reason = ReasonNoCapacity
	}
	if age := now.Sub(to.KnownAt); age > maxInformationAge {
		share.Fraction *= math.Exp2(-float64(age-maxInformationAge) / float64(informationHalfLife))
		share.Reason = ReasonOldInformation
	}
	if !(share.Fraction >= minFraction) {
		return Share{Reason: ReasonNone}
	}
	return share
}
