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
	sink := &serverListSink{
		registry: g.registry, log: zap.NewNop(),
		confirmedAt: func() time.Duration { return g.servers.ConfirmedAt() }, maxGap: func() time.Duration { return defaultDrainBound },
	}
	g.servers = &follow.Follower[backend.Info]{Sink: sink, Log: zap.NewNop()}
	g.drainBound.Store(int64(defaultDrainBound))
	now := boottime.Now()
	readList(t, g, now-age, listPosition)
	g.holder.Update(routes.NewSnapshot(1, routes.Limits{}, nil, nil, routes.Access{}), now)
	g.holder.Confirm(1, now)
	return g
}

// readList replaces the list by one of one server, as of a time and at a position.
func readList(t *testing.T, g *gateway, asOf time.Duration, position follow.Position) {
	t.Helper()
	server := backend.Info{ID: "1", Addr: "127.0.0.1:1", Service: "chat", SoftwareVersion: "v1", Slots: 1}
	if err := g.servers.ApplyDeltas(asOf, []follow.Delta[backend.Info]{{From: position, To: position, Snapshot: true, Items: []backend.Info{server}}}); err != nil {
		t.Fatal(err)
	}
	if !g.servers.Confirm(asOf, position) {
		t.Fatal("the list isn't confirmed")
	}
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

// Guards against a version that joined and left while the list of servers wasn't known, and that doesn't count
// when the list is read anew: a stream may have begun at it.
func TestVersionMissedInGapMakesOriginUnknown(t *testing.T) {
	const window = 100 * time.Millisecond
	for gap, known := range map[time.Duration]bool{0: true, time.Second: true, 3 * time.Second: false, time.Minute: false} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			t.Parallel()
			g := newGatewayWithList(t, gap)
			g.router = router.New(router.Config{}, router.Bounds{}, nil)
			time.Sleep(2 * window)
			readList(t, g, boottime.Now(), listPosition+9)
			onlyKnown := func() bool { return g.versionsWithin(policy.KeyOf("chat"), window).Only != 0 }
			if got := onlyKnown(); got != known {
				t.Errorf("read anew after a gap: the only version is known: %v, want %v", got, known)
			}
			time.Sleep(window)
			if !onlyKnown() {
				t.Error("the only version isn't known once the list has been known for the window")
			}
		})
	}
}
