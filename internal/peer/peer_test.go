package peer

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/auth"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/targets"
)

const testKey = "system-key-of-the-test"

// startPeer starts a server that returns s to requests with the system key, and
// returns its address (host:port).
func startPeer(t *testing.T, s State) string {
	t.Helper()
	server := httptest.NewServer(auth.RequireSystemKey(testKey)(StateHandler(func() State { return s })))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestFetchFromAllAdoptsNewestTargets(t *testing.T) {
	addrs := []string{
		"127.0.0.1:1",
		startPeer(t, State{Process: "old", Targets: &targets.Set{Version: 3}}),
		startPeer(t, State{Process: "new", Targets: &targets.Set{Version: 5}, VMs: []storage.VM{{Name: "vm-1"}}}),
		startPeer(t, State{Process: "older", Targets: &targets.Set{Version: 4}, VMs: []storage.VM{{Name: "vm-2"}}}),
	}
	cache := targets.NewCache()
	vms, err := FetchFromAll(t.Context(), addrs, testKey, cache)
	if err != nil || len(vms) != 1 || vms[0].Name != "vm-1" {
		t.Fatalf("VMs: got %+v, %v", vms, err)
	}
	if got := cache.Current().Version; got != 5 {
		t.Fatalf("targets: got version %d, want 5, the newest", got)
	}
}

// A peer that has no VM list yet must not be skipped: its targets may be the newest.
func TestPeersWithoutVMListStillProvideTargets(t *testing.T) {
	cache := targets.NewCache()
	_, err := FetchFromAll(t.Context(), []string{startPeer(t, State{Targets: &targets.Set{Version: 2}})}, testKey, cache)
	if !errors.Is(err, ErrUnreachable) || cache.Current().Version != 2 {
		t.Fatalf("got %v with version %d", err, cache.Current().Version)
	}
}

func TestStateRequiresSystemKey(t *testing.T) {
	addr := startPeer(t, State{Targets: &targets.Set{Version: 2}})
	if _, err := FetchState(t.Context(), addr, "another-key"); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("got %v, want ErrUnreachable", err)
	}
}
