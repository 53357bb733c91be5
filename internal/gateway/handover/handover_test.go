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

func TestStateIsHandedOver(t *testing.T) {
	want := State{
		Version: 7, Document: []byte(`{"version":7}`),
		Servers: []backend.Info{{ID: "i-1", Addr: "127.0.0.1:1", Service: "s", Zone: "z", Slots: 8, Leaving: true, WarmupLeft: time.Second}},
	}
	web := httptest.NewServer(Routes(func() State { return want }, nil))
	defer web.Close()
	got, err := NewClient().Get(t.Context(), strings.TrimPrefix(web.URL, "http://"))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestWhatIsNoState(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"no CBOR":  {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, ErrForm},
		"a status": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, ErrUnreachable},
		"too late": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, ErrUnreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			web := httptest.NewServer(c.handler)
			defer web.Close()
			if _, err := NewClient().Get(t.Context(), strings.TrimPrefix(web.URL, "http://")); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
	if _, err := NewClient().Get(t.Context(), "127.0.0.1:1"); !errors.Is(err, ErrUnreachable) {
		t.Errorf("nobody listens: %v", err)
	}
}

func TestChangesAreHandedOver(t *testing.T) {
	want := []follow.Step[backend.Info]{{From: 3, To: 7, Items: []backend.Info{{ID: "i-1", Addr: "127.0.0.1:1"}}, Removed: []string{"i-2"}, Unreadable: []string{"i-3"}}}
	web := httptest.NewServer(Routes(nil, func(after follow.Position) ([]follow.Step[backend.Info], bool) { return want, after >= 3 }))
	defer web.Close()
	addr := strings.TrimPrefix(web.URL, "http://")
	got, err := NewClient().Changes(t.Context(), addr, 3)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := NewClient().Changes(t.Context(), addr, 2); !errors.Is(err, ErrGap) {
		t.Errorf("%v where not all changes are known", err)
	}
}

// Dozens that ask the first ones for a large state would hold up callers' answers.
func TestLargeTargetsAreLeftToTheStore(t *testing.T) {
	state := State{Version: 7, Document: make([]byte, mostTargets), Servers: []backend.Info{{ID: "i-1"}}}
	web := httptest.NewServer(Routes(func() State { return state }, nil))
	defer web.Close()
	addr := strings.TrimPrefix(web.URL, "http://")
	if got, err := NewClient().Targets(t.Context(), addr); err != nil || got.Version != 7 || len(got.Document) != mostTargets || got.Servers != nil {
		t.Errorf("version %d, %d bytes, servers %v, %v", got.Version, len(got.Document), got.Servers, err)
	}
	state.Document = make([]byte, mostTargets+1)
	if _, err := NewClient().Targets(t.Context(), addr); !errors.Is(err, ErrTooLarge) {
		t.Errorf("%v for a state that is too large", err)
	}
	if got, err := NewClient().Get(t.Context(), addr); err != nil || got.Version != 7 {
		t.Errorf("version %d, %v: who can't ask the store gets it", got.Version, err)
	}
}
