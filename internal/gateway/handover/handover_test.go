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
)

func TestStateIsHandedOver(t *testing.T) {
	want := State{
		Version: 7, Document: []byte(`{"version":7}`),
		Servers: []backend.Info{{ID: "i-1", Addr: "127.0.0.1:1", Service: "s", Zone: "z", Slots: 8, Leaving: true, WarmupLeft: time.Second}},
	}
	web := httptest.NewServer(Routes(func() State { return want }))
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
