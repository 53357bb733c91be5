package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

// listPosition is the position up to which the list of servers is known.
const listPosition follow.Position = 7

// newGatewayWithList returns a gateway that knows one server, with a list of the given age beside a desired
// state that has just been confirmed.
func newGatewayWithList(t *testing.T, age time.Duration) *gateway {
	t.Helper()
	g := &gateway{holder: &routes.Holder{}, registry: backend.NewRegistry(), startedAt: boottime.Now() - time.Hour}
	g.servers = &follow.Follower[backend.Info]{Sink: &serverListSink{registry: g.registry, log: zap.NewNop()}, Log: zap.NewNop()}
	g.drainBound.Store(int64(defaultDrainBound))
	now := boottime.Now()
	list := []follow.Delta[backend.Info]{{From: listPosition, To: listPosition, Snapshot: true, Items: []backend.Info{{ID: "1", Addr: "127.0.0.1:1", Service: "chat", SoftwareVersion: "v1", Slots: 1}}}}
	if err := g.servers.ApplyDeltas(now-age, list); err != nil {
		t.Fatal(err)
	}
	if !g.servers.Confirm(now-age, listPosition) {
		t.Fatal("the list isn't confirmed")
	}
	g.holder.Update(routes.NewSnapshot(1, routes.Limits{}, nil, nil, routes.Access{}), now)
	g.holder.Confirm(1, now)
	return g
}

// Guards against an only version that is known from a list of servers which is older than the desired state.
func TestOnlyVersionOfOldListIsUnknown(t *testing.T) {
	for age, known := range map[time.Duration]bool{0: true, time.Second: true, 2 * time.Second: false, 3 * time.Second: false} {
		t.Run(fmt.Sprint(age), func(t *testing.T) {
			g := newGatewayWithList(t, age)
			g.router = router.New(router.Config{}, router.Bounds{}, nil)
			if versions := g.versionsWithin(policy.KeyOf("chat"), 0); (versions.Only == policy.KeyOf("v1")) != known || versions.Several {
				t.Errorf("got %+v, want the only version to be known: %v", versions, known)
			}
		})
	}
}

// Guards against a stream that goes on by a list from before it was resumed, and against a wait that doesn't
// end.
func TestServerListIsAwaited(t *testing.T) {
	const slack = 500 * time.Millisecond
	cases := map[string]struct {
		// confirmedAfter is when the list is confirmed as of then; 0 for never. newest is the position of the
		// newest change that the store had.
		confirmedAfter time.Duration
		newest         follow.Position
		want           bool
		// longest is how long it may take.
		longest time.Duration
	}{
		"confirmed meanwhile":          {200 * time.Millisecond, listPosition, true, 200*time.Millisecond + slack},
		"never confirmed":              {0, 0, false, 1400*time.Millisecond + slack},
		"confirmed up to an old state": {200 * time.Millisecond, listPosition + 1, false, 1400*time.Millisecond + slack},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGatewayWithList(t, 10*time.Millisecond)
			began := time.Now()
			if c.confirmedAfter > 0 {
				time.AfterFunc(c.confirmedAfter, func() { g.servers.Confirm(boottime.Now(), c.newest) })
			}
			got := g.awaitServerList(t.Context(), began)
			if took := time.Since(began); got != c.want || took > c.longest {
				t.Errorf("got %v after %v, want %v within %v", got, took, c.want, c.longest)
			}
		})
	}
	g := newGatewayWithList(t, 0)
	if !g.awaitServerList(t.Context(), time.Now().Add(-time.Second)) {
		t.Error("a list that was confirmed after the stream was resumed is waited for")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if g.awaitServerList(ctx, time.Now().Add(time.Second)) {
		t.Error("the list is current though the caller has disconnected")
	}
}
