package handover

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
)

func TestGetReturnsStateOfPeer(t *testing.T) {
	want := State{
		Version: 7, Document: []byte(`{"version":7}`),
		Servers: []backend.Info{{ID: "i-1", Addr: "127.0.0.1:1", Service: "s", Zone: "z", Slots: 8, Draining: true, WarmupLeft: time.Second}},
	}
	server := httptest.NewServer(NewHandler(func() State { return want }, nil))
	defer server.Close()
	got, err := NewClient().Get(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestGetRejectsInvalidResponses(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"not CBOR":  {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, ErrMalformed},
		"not found": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, ErrUnreachable},
		"timeout":   {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, ErrUnreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(c.handler)
			defer server.Close()
			if _, err := NewClient().Get(t.Context(), strings.TrimPrefix(server.URL, "http://")); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
	if _, err := NewClient().Get(t.Context(), "127.0.0.1:1"); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v for a closed port", err)
	}
}

func TestChangesReturnsServerChangesOfPeer(t *testing.T) {
	want := []follow.Delta[backend.Info]{{From: 3, To: 7, Items: []backend.Info{{ID: "i-1", Addr: "127.0.0.1:1"}}, Removed: []string{"i-2"}, Unreadable: []string{"i-3"}}}
	server := httptest.NewServer(NewHandler(nil, func(after follow.Position) ([]follow.Delta[backend.Info], bool) { return want, after >= 3 }))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	got, err := NewClient().Changes(t.Context(), addr, 3)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := NewClient().Changes(t.Context(), addr, 2); !errors.Is(err, ErrHistoryGap) {
		t.Errorf("got %v, want ErrHistoryGap for an unknown position", err)
	}
}

// Dozens of gateways that fetch a large desired state from the few that received it first would
// delay the responses to callers. DesiredState must refuse it; Get has no such limit.
func TestTooLargeDesiredStateIsRejected(t *testing.T) {
	state := State{Version: 7, Document: make([]byte, maxDesiredStateBytes), Servers: []backend.Info{{ID: "i-1"}}}
	server := httptest.NewServer(NewHandler(func() State { return state }, nil))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	if got, err := NewClient().DesiredState(t.Context(), addr); err != nil || got.Version != 7 || len(got.Document) != maxDesiredStateBytes || got.Servers != nil {
		t.Errorf("version %d, %d bytes, servers %v, %v", got.Version, len(got.Document), got.Servers, err)
	}
	state.Document = make([]byte, maxDesiredStateBytes+1)
	if _, err := NewClient().DesiredState(t.Context(), addr); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v for a state that is too large", err)
	}
	if got, err := NewClient().Get(t.Context(), addr); err != nil || got.Version != 7 {
		t.Errorf("version %d, %v: Get must return a state of any size", got.Version, err)
	}
}
