package peers

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/policy"
)

// newBusyMesh returns a Mesh that reports load at 40 servers and sends updates, like a gateway
// during a burst.
func newBusyMesh(b *testing.B, peerCount int) *Mesh {
	b.Helper()
	loads := make([]Load, 40)
	for i := range loads {
		loads[i] = Load{Server: fmt.Sprintf("i-%08x", i), Counts: backend.Counts{Running: 2}}
		loads[i].Counts.Pending[3].Requests, loads[i].Counts.Pending[3].Tokens = 1, 800
	}
	updates := policy.PeerUpdate{PrefixUses: make([]policy.PrefixUse, 20), FirstTokens: make([]policy.TTFTSample, 2)}
	for i := range updates.PrefixUses {
		updates.PrefixUses[i] = policy.PrefixUse{Server: policy.Key(i) << 20, Segment: uint64(i) << 50, Prefilled: true}
	}
	m, err := Listen(Config{
		Self:           Entry{Name: "a", Addr: "127.0.0.1:0"},
		Loads:          func() []Load { return loads },
		TakeUpdates:    func() policy.PeerUpdate { return updates },
		MergeUpdates:   func(policy.PeerUpdate) {},
		OwnOfferCounts: func() map[string]policy.OfferCounts { return nil },
		Confirmation:   func() Confirmation { return Confirmation{} },
		Confirm:        func(Confirmation) {},
		ConfirmServers: func(time.Duration, follow.Position) {},
		StoreStatus:    func() StoreStatus { return StoreStatus{Reachable: true, Polling: true, ServersPosition: 1 << 20} },
		Log:            zap.NewNop(),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(m.Close)
	// All peers have the mesh's own address, and nothing reads its datagrams.
	for i := range peerCount {
		m.table.setAddr(fmt.Sprintf("gateway-%d", i), m.Addr())
	}
	return m
}

func BenchmarkBroadcast(b *testing.B) {
	for _, peerCount := range []int{68, 299} {
		b.Run(fmt.Sprintf("peers=%d", peerCount), func(b *testing.B) {
			m := newBusyMesh(b, peerCount)
			for b.Loop() {
				m.broadcast()
			}
		})
	}
}

func BenchmarkReceive(b *testing.B) {
	m := newBusyMesh(b, 1)
	m.broadcast()
	addr, in, err := m.receive(make([]byte, maxDatagramBytes))
	if err != nil {
		b.Fatal(err)
	}
	in.From = "gateway-0"
	for b.Loop() {
		in.Sequence++
		m.table.update(time.Now(), addr, in)
	}
}
