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

// changeRounds is the number of times that the 1,400 routes are added and removed.
const changeRounds = 10

// Changes of the settings and of the desired state don't interrupt requests in flight.
func TestConfigChangesDoNotInterruptRequests(t *testing.T) {
	f, server := newServingFixture(t, gateway.Options{MemoryMB: 100})
	server.SetScript(respondSlowly)
	stop := make(chan struct{})
	load := &callerLoad{t: t, f: f}
	var callers sync.WaitGroup
	for n := range loadCallers {
		callers.Go(func() { load.runCaller(fmt.Sprint("c", n), stop) })
	}
	// These routes aren't used by the load.
	var routes strings.Builder
	for n := range 1400 {
		fmt.Fprintf(&routes, `,{"name":"r%d","host":"h.example","prefix":"/r%d/","type":"safe","timeout-ms":2000,"slo-ms":100,"service":"plain","attempts":2}`, n, n)
	}
	for version := 10; version < 10+2*changeRounds; version += 2 {
		f.PutState(version, routes.String(), "")
		f.WaitFor("the routes to be added", func() bool { return f.Post("/r7/x", "r").Status != http.StatusNotFound })
		f.PutState(version+1, "", "")
		f.WaitFor("the routes to be removed", func() bool { return f.Post("/r7/x", "r").Status == http.StatusNotFound })
	}
	f.ChangeSettings(func(s *settings.Gateway) {
		s.MemoryLimitMB = 50
		s.RetryBudget.ExtraPerWindow = 1
		s.ShutdownTimeout = time.Second
	})
	close(stop)
	callers.Wait()
	load.report()
	if load.succeeded.Load() == 0 {
		t.Error("no request was served")
	}
}
