package zonerouting_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/applepier/applepier/policy/zonerouting"
)

var ab, ba = [2]string{"a", "b"}, [2]string{"b", "a"}

// usableLink is the way between any two zones.
func usableLink(string, string) zonerouting.Link {
	return zonerouting.Link{RoundTrip: roundTrip, Usable: true, RequestBytes: meanTokens * bytesPerToken}
}

// twoZones returns two zones with the given demands relative to their capacities.
func twoZones(now time.Time, demandA, demandB float64) []zonerouting.Zone {
	const capacity = 400_000.0
	zone := func(name string, demand float64) zonerouting.Zone {
		return zonerouting.Zone{Name: name, Capacity: capacity, Demand: demand * capacity, RequestTime: requestTime, KnownAt: now}
	}
	return []zonerouting.Zone{zone("a", demandA), zone("b", demandB)}
}

// planFor plans several times with figures that don't change, until the shares don't either.
func planFor(p *zonerouting.Planner, now *time.Time, demandA, demandB float64, price zonerouting.Price) map[[2]string]zonerouting.Share {
	var shares map[[2]string]zonerouting.Share
	for range 20 {
		*now = now.Add(planInterval)
		shares = p.Plan(*now, twoZones(*now, demandA, demandB), usableLink, price)
	}
	return shares
}

// Guards against requests that leave a zone although they would be served there as soon, and against
// a price that keeps requests in a zone that can't serve them.
func TestPriceDecidesWhatLeaves(t *testing.T) {
	cases := []struct {
		demandA, demandB float64
		price            zonerouting.Price
		leave            bool
	}{
		{0.5, 0.5, 0, false},
		{0.9, 0.3, 0, true},
		// A crossing of 11.6 KB costs 58 s.
		{0.9, 0.3, 5_000_000, false},
		{2, 0.3, 1000, true},
		{1.5, 1.5, 0, false},
	}
	for _, c := range cases {
		var p zonerouting.Planner
		now := modelStart
		shares := planFor(&p, &now, c.demandA, c.demandB, c.price)
		if leaves := shares[ab].Fraction > 0; leaves != c.leave || shares[ba].Fraction > 0 {
			t.Errorf("demands %.1f and %.1f at price %.0f: %+v", c.demandA, c.demandB, c.price, shares)
		}
		if reason := shares[ab].Reason; c.leave != (reason == zonerouting.ReasonSooner) {
			t.Errorf("reason %q of %+v", reason, c)
		}
	}
}

// Guards against a share that moves more than the difference of the zones: the marginal times of the
// two zones must be equal afterwards, which for equal zones means equal utilization.
func TestSharesEqualizeZones(t *testing.T) {
	var p zonerouting.Planner
	now := modelStart
	share := planFor(&p, &now, 1.2, 0.4, 0)[ab].Fraction
	if want := 0.4 / 1.2; math.Abs(share-want) > 0.04 {
		t.Errorf("share %.3f, equal zones need %.3f", share, want)
	}
}

// Guards against flapping: demands that differ at random by a tenth start nothing, and a share that
// is in use ends at a smaller difference than it starts at.
func TestStartAndStopHaveHysteresis(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var p zonerouting.Planner
	now := modelStart
	for range 500 {
		now = now.Add(planInterval)
		noise := func() float64 { return 0.7 * (1 + 0.1*random.NormFloat64()) }
		if shares := p.Plan(now, twoZones(now, noise(), noise()), usableLink, 0); shares[ab].Fraction > 0 || shares[ba].Fraction > 0 {
			t.Fatalf("started %+v by chance", shares)
		}
	}
	startsAt, stopsAt := 0.0, 0.0
	for difference := 0.0; difference < 0.6 && startsAt == 0; difference += 0.02 {
		if planFor(&p, &now, 0.7+difference/2, 0.7-difference/2, 0)[ab].Fraction > 0 {
			startsAt = difference
		}
	}
	for difference := startsAt; difference > 0 && stopsAt == 0; difference -= 0.02 {
		if planFor(&p, &now, 0.7+difference/2, 0.7-difference/2, 0)[ab].Fraction == 0 {
			stopsAt = difference
		}
	}
	t.Logf("starts at a difference of %.2f, stops at %.2f", startsAt, stopsAt)
	if startsAt == 0 || stopsAt == 0 || stopsAt >= startsAt/2 {
		t.Errorf("starts at a difference of %.2f, stops at %.2f", startsAt, stopsAt)
	}
}

// Guards against a pair of zones whose direction is reversed while other gateways still send in the
// first one.
func TestReversalIsDelayed(t *testing.T) {
	var p zonerouting.Planner
	now := modelStart
	if planFor(&p, &now, 1.5, 0.3, 0)[ab].Fraction == 0 {
		t.Fatal("nothing is sent from a full zone")
	}
	lastThere := now
	for range 30 {
		now = now.Add(planInterval)
		shares := p.Plan(now, twoZones(now, 0.3, 1.5), usableLink, 0)
		if shares[ab].Fraction > 0 {
			lastThere = now
		}
		if shares[ba].Fraction > 0 {
			if shares[ab].Fraction > 0 || now.Sub(lastThere) < time.Second {
				t.Errorf("reversed after %v", now.Sub(lastThere))
			}
			return
		}
	}
	t.Error("never reversed")
}

// Failure: information about a zone is older than 3 s. What is sent there is halved each second.
func TestOldInformationHalvesShare(t *testing.T) {
	var p zonerouting.Planner
	now := modelStart
	fresh := planFor(&p, &now, 1.5, 0.3, 0)[ab].Fraction
	plan := func(age time.Duration) zonerouting.Share {
		zones := twoZones(now, 1.5, 0.3)
		zones[1].KnownAt = now.Add(-age)
		return p.Plan(now, zones, usableLink, 0)[ab]
	}
	atThree := plan(3 * time.Second)
	if atThree.Fraction <= 0 || atThree.Fraction > fresh {
		t.Errorf("share %.3f with figures of 3 s, %.3f with fresh ones", atThree.Fraction, fresh)
	}
	for seconds, factor := range map[int]float64{4: 0.5, 5: 0.25, 6: 0.125} {
		share := plan(time.Duration(seconds) * time.Second)
		if math.Abs(share.Fraction-factor*atThree.Fraction) > 1e-9 || share.Reason != zonerouting.ReasonOldInformation {
			t.Errorf("after %d s %+v, at 3 s %.3f", seconds, share, atThree.Fraction)
		}
	}
	if share := plan(12 * time.Second); share.Fraction != 0 {
		t.Errorf("after 12 s %+v", share)
	}
}

// Failure: cut off. Nothing is sent, whatever the last figures were.
func TestNothingIsSentWhenCutOff(t *testing.T) {
	var p zonerouting.Planner
	now := modelStart
	planFor(&p, &now, 1.5, 0.3, 0)
	now = now.Add(planInterval)
	cut := func(string, string) zonerouting.Link { return zonerouting.Link{RoundTrip: roundTrip} }
	if shares := p.Plan(now, twoZones(now, 1.5, 0.3), cut, 0); len(shares) > 0 {
		t.Errorf("shares %+v while cut off", shares)
	}
}

// Failure: half of a zone's servers end. Its capacity is that of the listed servers at the next plan.
func TestLostServersReduceCapacity(t *testing.T) {
	var p zonerouting.Planner
	now := modelStart
	if shares := planFor(&p, &now, 0.7, 0.7, 0); shares[ab].Fraction > 0 {
		t.Fatalf("%+v before the loss", shares)
	}
	zones := twoZones(now, 0.7, 0.7)
	zones[0].Capacity /= 2
	if shares := p.Plan(now.Add(planInterval), zones, usableLink, 0); shares[ab].Fraction < 0.2 {
		t.Errorf("share %+v with half of the servers", shares[ab])
	}
	zones[0].Capacity = 0
	if share := p.Plan(now.Add(2*planInterval), zones, usableLink, 0)[ab]; share.Fraction < 0.99 || share.Reason != zonerouting.ReasonNoCapacity {
		t.Errorf("share %+v without servers", share)
	}
}

// Failure: all gateways of a zone are killed. Its demand counts as 0 at once, so that its servers
// serve the others' requests.
func TestDemandOfKilledGatewaysEndsAtOnce(t *testing.T) {
	var p zonerouting.Planner
	now := modelStart
	if shares := planFor(&p, &now, 0.9, 0.9, 0); shares[ab].Fraction > 0 {
		t.Fatalf("%+v before the loss", shares)
	}
	now = now.Add(planInterval)
	if shares := p.Plan(now, twoZones(now, 0.9, 0), usableLink, 0); shares[ab].Fraction == 0 {
		t.Errorf("%+v although zone b has no demand", shares)
	}
}

// Guards against shares that many gateways apply together in excess of the plan.
func TestGatewaysDrawTheShareOfTheWholeDemand(t *testing.T) {
	shares := map[[2]string]zonerouting.Share{ab: {Fraction: 0.3}, {"a", "c"}: {Fraction: 0.2}, {"b", "c"}: {Fraction: 1}}
	for _, gateways := range []int{6, 68, 410} {
		const requests = 8200
		counts := map[string]int{}
		for g := range gateways {
			random := rand.New(rand.NewPCG(uint64(g), 3))
			for range requests / gateways {
				counts[zonerouting.Draw(random.Float64(), "a", zonerouting.Destinations("a", shares))]++
			}
		}
		if part := float64(counts["b"]) / requests; math.Abs(part-0.3) > 0.02 {
			t.Errorf("%d gateways send %.3f to b, the share is 0.3", gateways, part)
		}
		if part := float64(counts["c"]) / requests; math.Abs(part-0.2) > 0.02 {
			t.Errorf("%d gateways send %.3f to c, the share is 0.2", gateways, part)
		}
	}
}

// BenchmarkPlan measures a plan for the zones of the largest site, of which one in three is full. A
// gateway makes five per second and service.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{3, 12} {
		b.Run(fmt.Sprintf("zones=%d", count), func(b *testing.B) {
			var p zonerouting.Planner
			now := modelStart
			for i := 0; b.Loop(); i++ {
				now = now.Add(planInterval)
				zones := make([]zonerouting.Zone, count)
				for z := range zones {
					zones[z] = twoZones(now, 0.5, 0)[0]
					zones[z].Name = zoneName(z)
					if z%3 == 0 {
						zones[z].Demand *= 3
					}
				}
				p.Plan(now, zones, usableLink, 0)
			}
		})
	}
}
