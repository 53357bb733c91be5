package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against gateways that send to servers that drain or are backed off, each by the responses that it received itself:
// several gateways under load, one server that says so in its responses and all servers of the service.
// Nothing in the store says so.
func TestNoticesAreKeptByAllGateways(t *testing.T) {
	const (
		gateways, servers = 4, 3
		bound             = 2 * time.Second
		backoff           = 2500 * time.Millisecond
	)
	for name, noticing := range map[string]int{"one": 1, "all": servers} {
		t.Run("drain of "+name, func(t *testing.T) {
			t.Parallel()
			g := startNotices(t, gateways, servers)
			changed := g.change(noticing, withHeaders(200, "Server-Leaving: 1"), 2*bound)
			g.each(noticing, func(gateway int, id, server string) {
				first, late := time.Time{}, 0
				for _, at := range arrivalTimes(g.fixtures[0], id, server, changed) {
					if first.IsZero() {
						first = at
					}
					if at.Sub(first) > bound {
						late++
					}
				}
				t.Logf("gateway %d, %s: %d arrivals in all, %d late", gateway, server, len(arrivalTimes(g.fixtures[0], id, server, changed)), late)
				if late > 0 {
					t.Errorf("gateway %d sent %s %d requests later than %v after its response", gateway, server, late, bound)
				}
			})
		})
		t.Run("backoff of "+name, func(t *testing.T) {
			t.Parallel()
			g := startNotices(t, gateways, servers)
			changed := g.change(noticing, gateway.AskForBackoff(backoff, true), 3*backoff)
			g.each(noticing, func(gateway int, id, server string) {
				during := arrivalsInBackoff(g.fixtures[0], id, server, changed, backoff)
				t.Logf("gateway %d, %s: %d arrivals in all, %d in a backoff", gateway, server, len(arrivalTimes(g.fixtures[0], id, server, changed)), during)
				if during > maxInBackoff {
					t.Errorf("gateway %d sent %s %d requests in the time that it asked for", gateway, server, during)
				}
			})
		})
	}
}

// noticesGroup is a group of gateways and the servers of their service.
type noticesGroup struct {
	fixtures []*gateway.Fixture
	servers  []*gateway.Server
}

// startNotices starts gateways and servers, and waits until each gateway uses each server.
func startNotices(t *testing.T, gateways, servers int) *noticesGroup {
	t.Helper()
	g := &noticesGroup{fixtures: gateway.StartGroup(t, gateways, 0)}
	for i := range servers {
		g.servers = append(g.servers, g.fixtures[0].StartServer(fmt.Sprint("i-", i), gateway.Respond("whole")))
	}
	for i, f := range g.fixtures {
		for _, s := range g.servers {
			id := fmt.Sprint("warm-", i)
			f.WaitFor("each server to be used", func() bool { f.Post("/safe/x", id); return g.fixtures[0].Reached(id, s.Instance) })
		}
	}
	return g
}

// change sends requests through all gateways for a time, replaces the script of the first servers soon
// after the beginning, and returns when it did.
func (g *noticesGroup) change(noticing int, script gateway.Script, d time.Duration) time.Time {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var sending sync.WaitGroup
	for i, f := range g.fixtures {
		sending.Go(func() { f.SendUntil(ctx, fmt.Sprint("notice-", i)) })
	}
	time.Sleep(200 * time.Millisecond)
	for _, s := range g.servers[:noticing] {
		s.SetScript(script)
	}
	changed := time.Now()
	sending.Wait()
	return changed
}

// each calls do for each gateway, by its index and the ID of its requests, and each of the first servers.
func (g *noticesGroup) each(noticing int, do func(gateway int, id, server string)) {
	for i := range g.fixtures {
		for _, s := range g.servers[:noticing] {
			do(i, fmt.Sprint("notice-", i), s.Instance)
		}
	}
}
