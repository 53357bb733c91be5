package timeline

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const testKey = "0123456789abcdef"

// serveRing serves a ring to clients that send testKey and returns it as a peer.
func serveRing(t *testing.T, ring *Ring) Peer {
	t.Helper()
	handler := Handler(ring)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != PathEvents || r.Header.Get("Authorization") != "Bearer "+testKey {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return Peer{Process: ring.Process(), Addr: strings.TrimPrefix(server.URL, "http://")}
}

// unreachablePeer returns a peer whose address refuses connections.
func unreachablePeer(t *testing.T) Peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return Peer{Process: "gone", Addr: listener.Addr().String()}
}

// An operator's query for one request must return its events from all processes in
// causal order, although the agent's clock is an hour behind, and must list a process
// that can't be reached as missing.
func TestViewMergesAllProcesses(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	entry := newSkewedProcess("entry-1", &now, 0)
	agent := newSkewedProcess("engine-1", &now, -time.Hour)
	entry.ring.Record(KindTicket, "r-1", "flag", "")
	agent.clock.Observe(entry.clock.Now())
	agent.ring.Record(KindGrant, "r-1", "flag", "")
	entry.clock.Observe(agent.clock.Now())
	entry.ring.Record(KindSent, "r-1", "flag", "")
	entry.ring.Record(KindTicket, "r-2", "flag", "")

	peers := []Peer{serveRing(t, agent.ring), unreachablePeer(t), {Process: "entry-1", Addr: "unused"}}
	handler := ViewHandler(entry.ring, func() []Peer { return peers }, testKey)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, PathView+"?request=r-1&since=2h", nil))

	var view View
	if err := json.Unmarshal(recorder.Body.Bytes(), &view); err != nil {
		t.Fatal(err)
	}
	var kinds []string
	for _, e := range view.Events {
		kinds = append(kinds, string(e.Kind))
	}
	if got := strings.Join(kinds, " "); got != "ticket grant sent" {
		t.Errorf("got events %q", got)
	}
	if view.Responded != 2 || len(view.Missing) != 1 || view.Missing[0].Process != "gone" || view.Missing[0].Reason != "connection refused" {
		t.Errorf("got %d responses, missing %v", view.Responded, view.Missing)
	}
}

// A peer that rejects the key must be listed as missing, not treated as one without
// events.
func TestGatherListsRefusingPeers(t *testing.T) {
	ring := NewRing("engine-1", &Clock{}, 10)
	view := Gather(t.Context(), []Peer{serveRing(t, ring)}, "another key here", Filter{})
	if len(view.Missing) != 1 || view.Missing[0].Reason != "answered 403" {
		t.Fatalf("got %+v", view)
	}
}

// The events of many processes must not exceed MaxGathered; the newest are kept.
func TestCollectorIsBounded(t *testing.T) {
	const pages = 2*MaxGathered/MaxLimit + 2
	var gathered collector
	clock := &Clock{}
	for i := range pages {
		ring := NewRing(string(rune('a'+i)), clock, MaxLimit)
		for range MaxLimit {
			ring.Record(KindJoin, "", "", "")
		}
		gathered.add(ring.Select(Filter{}))
	}
	view := gathered.view()
	if len(view.Events) != MaxGathered || !view.Truncated {
		t.Fatalf("got %d events, truncated %v", len(view.Events), view.Truncated)
	}
	newestProcess := string(rune('a' + pages - 1))
	if got := view.Events[MaxGathered-1].Process; got != newestProcess {
		t.Fatalf("the last event is of %s, want %s", got, newestProcess)
	}
}

func TestLimitSetsTruncated(t *testing.T) {
	ring := NewRing("engine-1", &Clock{}, 10)
	for range 3 {
		ring.Record(KindJoin, "", "", "")
	}
	view := Gather(t.Context(), []Peer{serveRing(t, ring)}, testKey, Filter{Limit: 2})
	if len(view.Events) != 2 || !view.Truncated {
		t.Fatalf("got %d events, truncated %v", len(view.Events), view.Truncated)
	}
}

func TestInvalidParameters(t *testing.T) {
	handler := Handler(NewRing("p", &Clock{}, 1))
	for _, query := range []string{"since=soon", "since=-1s", "limit=0", "limit=4001", "limit=x"} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, PathEvents+"?"+query, nil))
		if recorder.Code != http.StatusBadRequest || !strings.Contains(recorder.Body.String(), "wrong parameter") {
			t.Errorf("%s: got %d %s", query, recorder.Code, recorder.Body)
		}
	}
}
