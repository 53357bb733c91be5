package gateway

import (
	"testing"

	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/settings"
)

// A changed memory setting changes the memory that requests in progress may use.
func TestRequestMemoryLimitFollowsSettings(t *testing.T) {
	r := router.New(router.Config{}, routerBounds(settings.Gateway{MemoryMB: 100}), nil)
	if got := r.Bounds().Held; got != 40*megabyte {
		t.Errorf("%d bytes of 100 MB", got)
	}
	r.SetBounds(routerBounds(settings.Gateway{MemoryMB: 10}))
	if got := r.Bounds().Held; got != 4*megabyte {
		t.Errorf("%d bytes of 10 MB, after 100", got)
	}
	r.SetBounds(routerBounds(settings.Gateway{}))
	if got := r.Bounds().Held; got != 0 {
		t.Errorf("%d bytes where there is no bound", got)
	}
}
