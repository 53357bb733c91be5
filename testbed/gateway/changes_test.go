package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/testbed/gateway"
)

// changes is how often the 1,400 routes are added and removed.
const changes = 10

// Changes of the settings and of the desired state don't interrupt requests in flight.
func TestRequestsBesideChangesAreServed(t *testing.T) {
	f, server := served(t, gateway.Options{MemoryMB: 100})
	server.Do(slowly)
	over := make(chan struct{})
	a := &asking{t: t, f: f}
	var all sync.WaitGroup
	for n := range askers {
		all.Go(func() { a.caller(fmt.Sprint("c", n), over) })
	}
	// These routes aren't used by the load.
	var many strings.Builder
	for n := range 1400 {
		fmt.Fprintf(&many, `,{"name":"r%d","host":"h.example","prefix":"/r%d/","type":"safe","timeout-ms":2000,"slo-ms":100,"service":"plain","attempts":2}`, n, n)
	}
	for version := 10; version < 10+2*changes; version += 2 {
		f.Desire(version, many.String(), "")
		f.Wait("the routes to be added", func() bool { return f.Call("/r7/x", "r").Status != http.StatusNotFound })
		f.Desire(version+1, "", "")
		f.Wait("the routes to be removed", func() bool { return f.Call("/r7/x", "r").Status == http.StatusNotFound })
	}
	f.Change(func(s *settings.Gateway) { s.MemoryMB = 50; s.Retry.Extra = 1; s.Grace = time.Second })
	close(over)
	all.Wait()
	a.report()
	if a.whole.Load() == 0 {
		t.Error("no request was served")
	}
}
