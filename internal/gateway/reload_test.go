package gateway

import (
	"testing"

	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/settings"
)

// A changed memory setting changes the memory that requests in progress may use.
func TestRequestMemoryLimitFollowsSettings(t *testing.T) {
	r := router.New(router.Config{}, routerBounds(settings.Gateway{MemoryLimitMB: 100}), nil)
	if got := r.Bounds().MaxRequestMemory; got != 40*megabyte {
		t.Errorf("limit is %d bytes for 100 MB of memory", got)
	}
	r.SetBounds(routerBounds(settings.Gateway{MemoryLimitMB: 10}))
	if got := r.Bounds().MaxRequestMemory; got != 4*megabyte {
		t.Errorf("limit is %d bytes after memory changed from 100 MB to 10 MB", got)
	}
	r.SetBounds(routerBounds(settings.Gateway{}))
	if got := r.Bounds().MaxRequestMemory; got != 0 {
		t.Errorf("limit is %d bytes without a memory setting, want 0", got)
	}
}
