package peers

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/policy"
)

// busyMesh has something at 40 servers, and news, as a gateway in a burst does.
func busyMesh(b *testing.B, peers int) *Mesh {
	b.Helper()
	loads := make([]Load, 40)
	for i := range loads {
		loads[i] = Load{Server: fmt.Sprintf("i-%08x", i), Counts: backend.Counts{Running: 2}}
		loads[i].Counts.Pending[3].Requests, loads[i].Counts.Pending[3].Tokens = 1, 800
	}
	news := policy.News{Uses: make([]policy.Use, 20), Firsts: make([]policy.FirstToken, 2)}
	for i := range news.Uses {
		news.Uses[i] = policy.Use{Server: policy.Key(i) << 20, Part: uint64(i) << 50, Read: true}
	}
	m, err := Listen(Config{
		Self:      Entry{Name: "a", Addr: "127.0.0.1:0"},
		Loads:     func() []Load { return loads },
		News:      func() policy.News { return news },
		Merge:     func(policy.News) {},
		Shortages: func() map[string]policy.Shortage { return nil },
		Proof:     func() Proof { return Proof{} },
		Prove:     func(Proof) {},
		Following: func() Following { return Following{Able: true, Asks: true, Servers: 1 << 20} },
		Log:       zap.NewNop(),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(m.Close)
	// All of them are this mesh's own address, whose datagrams nobody reads.
	for i := range peers {
		m.table.know(fmt.Sprintf("gateway-%d", i), m.Addr())
	}
	return m
}

func BenchmarkBroadcast(b *testing.B) {
	for _, peers := range []int{68, 299} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			m := busyMesh(b, peers)
			for b.Loop() {
				m.broadcast()
			}
		})
	}
}

func BenchmarkReceive(b *testing.B) {
	m := busyMesh(b, 1)
	m.broadcast()
	from, in, err := m.receive(make([]byte, maxDatagram))
	if err != nil {
		b.Fatal(err)
	}
	in.From = "gateway-0"
	for b.Loop() {
		in.Sequence++
		m.table.take(time.Now(), from, in)
	}
}
