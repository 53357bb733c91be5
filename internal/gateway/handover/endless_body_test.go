package handover

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// maxAllocated bounds what a call allocates, in bytes: a few times the largest response.
const maxAllocated = 8 * maxStateBytes

// Guards against another gateway whose responses have no end, and fill this one's memory.
func TestEndlessBodyIsBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for block := strings.Repeat("\x9f", 32<<10); ; {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	calls := map[string]func() error{
		"state":         func() error { _, err := NewClient().Get(t.Context(), addr); return err },
		"desired state": func() error { _, err := NewClient().DesiredState(t.Context(), addr); return err },
		"changes":       func() error { _, err := NewClient().Changes(t.Context(), addr, 1); return err },
	}
	for name, call := range calls {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := call()
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; !errors.Is(err, ErrMalformed) || allocated > maxAllocated {
			t.Errorf("%s: error %v, %d MB allocated; want ErrMalformed and at most %d MB", name, err, allocated>>20, maxAllocated>>20)
		}
	}
}
