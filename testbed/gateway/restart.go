package gateway

import (
	"slices"
	"sync"
	"testing"
)

// RestartableGroup is a group of gateways in child processes that can be ended and started again.
type RestartableGroup struct {
	t testing.TB
	// mu guards the fields below; no other lock is acquired while it is held.
	mu       sync.Mutex
	fixtures []*Fixture
	children []*Child
}

// StartRestartableGroup starts n gateways as StartChildGroup does.
func StartRestartableGroup(t testing.TB, n int) *RestartableGroup {
	t.Helper()
	fixtures, children := StartChildGroup(t, n)
	return &RestartableGroup{t: t, fixtures: fixtures, children: children}
}

// Gateway returns the current process of a gateway, by its index.
func (g *RestartableGroup) Gateway(i int) *Fixture {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fixtures[i]
}

// Kill ends a gateway without notice and starts it again at once, under the same name. It doesn't wait
// until the gateway is ready.
func (g *RestartableGroup) Kill(i int) {
	g.t.Helper()
	g.mu.Lock()
	child := g.children[i]
	g.mu.Unlock()
	if err := child.Kill(); err != nil {
		g.t.Error(err)
	}
	g.startAgain(i)
}

// KillAll ends all gateways at once without notice, and starts them again as Kill does.
func (g *RestartableGroup) KillAll() {
	g.t.Helper()
	g.mu.Lock()
	children := slices.Clone(g.children)
	g.mu.Unlock()
	for _, child := range children {
		if err := child.Kill(); err != nil {
			g.t.Error(err)
		}
	}
	for i := range children {
		g.startAgain(i)
	}
}

// Stop ends a gateway gracefully and starts it again, as Kill does.
func (g *RestartableGroup) Stop(i int) {
	g.t.Helper()
	g.Gateway(i).Stop()
	g.startAgain(i)
}

// startAgain starts a gateway once its process has ended.
func (g *RestartableGroup) startAgain(i int) {
	g.t.Helper()
	ended := g.Gateway(i)
	<-ended.Stopped
	child := &Child{}
	f := NewFixture(g.t, Options{
		Name: ended.settings.Process, PeerListen: ended.settings.PeerListen, Revoke: ended.settings.Revocation.MaxDelay,
		Store: ended.Store, Run: child.Run, WithoutState: true,
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fixtures[i], g.children[i] = f, child
}
