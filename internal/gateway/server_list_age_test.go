package gateway

import (
	"testing"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/routes"
)

// Guards against ages that begin with the VM: what was never confirmed is as old as the process.
func TestAgesBeforeFirstConfirmation(t *testing.T) {
	g := &gateway{servers: &follow.Follower[backend.Info]{}, holder: &routes.Holder{}, startedAt: boottime.Now() - time.Second}
	for name, age := range map[string]time.Duration{"server list": g.serverListAge(), "desired state": g.stateAge()} {
		if age < time.Second || age > 2*time.Second {
			t.Errorf("%s: %v old, the process started a second ago", name, age)
		}
	}
}
