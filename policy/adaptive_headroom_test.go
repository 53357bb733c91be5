package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against many gateways sending for the same few free slots: with an independent draw
// for each server their chances would add up. Together they must send about as many requests
// as slots are left, spread over the servers.
func TestScarceSlotsAreSharedEvenly(t *testing.T) {
	const gateways, freeServers, freePerServer = 90, 7, 2
	servers := idleServers(50)
	maxRunning := int(maxSlotShare * float64(servers[0].Slots))
	for i := range servers {
		servers[i].Running = maxRunning
	}
	for i := range freeServers {
		servers[5*i].Running = maxRunning - freePerServer
	}
	job := Job{Zone: "z", Target: 250 * time.Millisecond, Tokens: 800, UnreportedRequests: gateways - 1}
	const rounds = 50
	sent, sentTo := 0, map[int]int{}
	for round := range rounds {
		for i := range gateways {
			c := NewChooser(rand.New(rand.NewPCG(uint64(i), uint64(round))), NewEjector(), NewPrefixIndex())
			if choice := c.Choose(testStart, job, servers, nil); choice.InTime {
				sent++
				sentTo[choice.Index]++
			}
		}
	}
	slotsLeft := 0.0
	for i := range servers {
		slotsLeft += max(servers[i].slotsLeft(job), 0)
	}
	if slotsLeft < freeServers*freePerServer {
		t.Fatalf("%.1f slots left, want at least %d", slotsLeft, freeServers*freePerServer)
	}
	if mean := float64(sent) / rounds; mean < 0.8*slotsLeft || mean > 1.25*slotsLeft {
		t.Errorf("%.1f requests sent on average, with %.0f slots left", mean, slotsLeft)
	}
	for server, count := range sentTo {
		if mean, free := float64(count)/rounds, servers[server].slotsLeft(job); mean > 1.5*free {
			t.Errorf("server %d gets %.1f requests on average, with %.0f slots left", server, mean, free)
		}
	}
}

// Guards against less urgent requests filling the slots while an urgent surge is not refused
// yet: the level leaves slots free in proportion to the surge above it, and none a few seconds
// later.
func TestHeadroomFollowsSurge(t *testing.T) {
	var headroom AdaptiveHeadroom
	var offers OfferCounts
	now, utilization := testStart, 0.6
	advance := func(d time.Duration, urgent float64) float64 {
		offers[3].Offered, offers[4].Offered = urgent, 100
		share := 0.0
		for until := now.Add(d); now.Before(until); now = now.Add(50 * time.Millisecond) {
			share = headroom.Share(now, &offers, utilization, 4)
		}
		return share
	}
	if share := advance(10*time.Second, 200); share > 0.01 {
		t.Errorf("headroom %.2f without a surge", share)
	}
	if share := advance(500*time.Millisecond, 400); share < 0.2 || share > maxHeadroom {
		t.Errorf("headroom %.2f half a second after the more urgent traffic doubled", share)
	}
	if own, above := headroom.Share(now, &offers, utilization, 3), headroom.Share(now, &offers, utilization, 0); own != 0 || above != 0 {
		t.Errorf("headroom %.2f and %.2f at levels without a surge above them", own, above)
	}
	if share := advance(15*time.Second, 400); share > 0.02 {
		t.Errorf("headroom %.2f long after the surge", share)
	}
	// A few more requests at a level with little traffic are no significant surge.
	offers[0].Offered = 6
	if share := advance(300*time.Millisecond, 400); share > 0.02 {
		t.Errorf("headroom %.2f for six requests among hundreds", share)
	}
}

// A gateway that has just started must not mistake the existing traffic for a surge.
func TestNoHeadroomAtStart(t *testing.T) {
	var headroom AdaptiveHeadroom
	var offers OfferCounts
	offers[3].Offered, offers[4].Offered = 300, 100
	for step := range 20 {
		now := testStart.Add(time.Duration(step) * 100 * time.Millisecond)
		if share := headroom.Share(now, &offers, 0.9, 4); share > 0.01 {
			t.Fatalf("headroom %.2f %v after the start", share, now.Sub(testStart))
		}
	}
}

func TestSlotUtilization(t *testing.T) {
	if got := SlotUtilization(nil); got != 0 {
		t.Errorf("got %v without servers, want 0", got)
	}
	servers := idleServers(2)
	servers[0].Running, servers[1].Running = 16, 8
	servers[1].Pending[3].Requests = 8
	servers = append(servers, Server{Name: "plain", Running: 50})
	if got := SlotUtilization(servers); got != 0.5 {
		t.Errorf("got %v of the slots in use, want 0.5: servers with unknown slots don't count", got)
	}
}

// A handful of more urgent requests that find no slot must not take the slots from hundreds of
// less urgent ones: a level's headroom is at most the share of requests offered above it.
func TestHeadroomIsBoundedByOffersAbove(t *testing.T) {
	var headroom AdaptiveHeadroom
	var offers OfferCounts
	offers[0].Offered, offers[0].NoSlot = 8, 4
	offers[3].Offered, offers[3].NoSlot = 392, 150
	offers[4].Offered, offers[4].NoSlot = 130, 130
	for step := range 60 {
		now := testStart.Add(time.Duration(step) * 50 * time.Millisecond)
		if share := headroom.Share(now, &offers, 0.9, 3); share > 0.04 {
			t.Fatalf("headroom %.2f for 8 requests of 530, %v after the start", share, now.Sub(testStart))
		}
	}
	if share := headroom.Share(testStart.Add(3*time.Second), &offers, 0.9, 4); share < maxHeadroom-0.05 {
		t.Errorf("headroom %.2f for 400 requests of 530, many of them refused", share)
	}
}

// Guards against a few refusals above a level that make it leave many slots free because much
// is offered there: the requests admitted above have their slots already.
func TestHeadroomIsBoundedByRefusalsAbove(t *testing.T) {
	var headroom AdaptiveHeadroom
	var offers OfferCounts
	offers[0].Offered, offers[0].NoSlot = 182, 3
	offers[1].Offered, offers[1].NoSlot = 44, 3
	offers[3].Offered, offers[3].NoSlot = 470, 200
	for step := range 60 {
		now := testStart.Add(time.Duration(step) * 50 * time.Millisecond)
		// 6 requests, beside 490 that are admitted, would occupy a hundredth of the slots in
		// use.
		if share := headroom.Share(now, &offers, 0.9, 3); share > 0.03 {
			t.Fatalf("headroom %.2f for 6 refusals beside 490 admitted requests, %v after the start", share, now.Sub(testStart))
		}
	}
}
