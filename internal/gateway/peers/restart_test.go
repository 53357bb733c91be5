package peers

import (
	"testing"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
)

// Guards against a late datagram of a gateway that has since restarted: the requests that its earlier
// instance had in flight have ended, and its acknowledgements are not the current one's.
func TestLateDatagramOfEarlierInstanceIsIgnored(t *testing.T) {
	const server = "i-1"
	datagram := func(bootID, sequence uint64, running int) *decodedMessage {
		in := &decodedMessage{}
		in.From, in.BootID, in.Sequence = "g-1", bootID, sequence
		in.Loads = []serverLoad{packLoad(server, &backend.Counts{Running: running})}
		return in
	}
	peers, now := newTable(), time.Now()
	steps := []struct {
		in      *decodedMessage
		applied bool
		running int
	}{
		{datagram(7, 1, 5), true, 5},
		{datagram(7, 2, 6), true, 6},
		{datagram(9, 1, 1), true, 1},
		{datagram(7, 3, 8), false, 1},
		{datagram(9, 2, 2), true, 2},
		// It restarts again, and nothing of the one before is taken.
		{datagram(4, 1, 3), true, 3},
		{datagram(9, 3, 9), false, 3},
	}
	for i, step := range steps {
		if applied := peers.update(now, "127.0.0.1:1", step.in); applied != step.applied {
			t.Errorf("datagram %d of instance %d is applied: %v, want %v", step.in.Sequence, step.in.BootID, applied, step.applied)
		}
		if running := peers.loadAt(hashName(server)).Running; running != step.running {
			t.Errorf("after step %d %d requests are running, want %d", i, running, step.running)
		}
	}
	// One that goes on while the other has stopped is taken again.
	if !peers.update(now.Add(2*peerTimeout), "127.0.0.1:1", datagram(9, 4, 9)) {
		t.Error("a datagram is ignored although the current instance sends nothing")
	}
}
