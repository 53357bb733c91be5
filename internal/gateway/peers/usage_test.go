package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/usage"
)

// usageMesh is a Mesh that knows some gateways, of which one reports usage.
func usageMesh(t *testing.T, peers int, reports string) *Mesh {
	t.Helper()
	m, _, _ := meshes(t)
	m.Usage = &Usage{
		Holds:    func() bool { return false },
		Update:   func(acknowledged uint64) usage.Update { return usage.Update{Sequence: acknowledged + 1} },
		Merge:    func(time.Time, usage.Source, usage.Update) {},
		Sequence: func(usage.Source) uint64 { return 0 },
	}
	for i := range peers {
		name := fmt.Sprintf("gateway-%d", i)
		m.receiveUsageFrom(name, 1, usageMessage{Holds: name == reports, WallClock: time.Now().UnixMilli()})
	}
	return m
}

// receiveUsageFrom takes a datagram of another gateway that the store answers.
func (m *Mesh) receiveUsageFrom(from string, sequence uint64, msg usageMessage) {
	m.take("127.0.0.1:9", &received{
		message: message{From: from, Boot: 7, Sequence: sequence, Usage: &msg}, state: state{Follows: resting},
	})
}

// Counts go to the gateway that reports and to two successors, not to all.
func TestUsageIsSentToFew(t *testing.T) {
	for _, peers := range []int{1, 2, 30, 409} {
		m := usageMesh(t, peers, "gateway-0")
		receivers, holder := 0, false
		for _, d := range m.table.destinations(time.Now()) {
			if m.sequence = usageInterval; m.usageMessageFor(&d).Update != nil {
				receivers++
				holder = holder || d.name == "gateway-0"
			}
		}
		if want := min(peers, 1+usageSuccessors); receivers != want || !holder {
			t.Errorf("%d of %d gateways receive updates, want %d; the one that reports: %v", receivers, peers, want, holder)
		}
	}
}

// What a receiver has acknowledged isn't sent again, until it starts anew.
func TestUsageGoesOnWhereItWasAcknowledged(t *testing.T) {
	m := usageMesh(t, 1, "gateway-0")
	next := func() uint64 {
		m.sequence = usageInterval
		return m.usageMessageFor(&m.table.destinations(time.Now())[0]).Update.Sequence
	}
	m.receiveUsageFrom("gateway-0", 2, usageMessage{Holds: true, Acknowledged: 41})
	if got := next(); got != 42 {
		t.Errorf("sent from %d on, 41 are acknowledged", got)
	}
	m.take("127.0.0.1:9", &received{message: message{From: "gateway-0", Boot: 8, Sequence: 1}})
	if got := next(); got != 1 {
		t.Errorf("sent from %d on after a start of the receiver", got)
	}
}

// A third of the VMs may have the wrong time of day, this one among them.
func TestTimeIsNotMovedByAThirdOfTheClocks(t *testing.T) {
	m := usageMesh(t, 0, "")
	const gateways = 30
	for i := range gateways {
		at := time.Now()
		if i < gateways/3 {
			at = at.Add(2 * time.Second)
		}
		m.receiveUsageFrom(fmt.Sprint("gateway-", i), 1, usageMessage{WallClock: at.UnixMilli()})
	}
	if off := time.Until(m.Time()).Abs(); off > 50*time.Millisecond {
		t.Errorf("%v off", off)
	}
	// A peer that fell silent doesn't count.
	m.table.mu.Lock()
	for _, p := range m.table.peers {
		p.heard = time.Now().Add(-2 * silentAfter)
		p.usage.clockOffset = boottime.Now().Milliseconds()
	}
	m.table.mu.Unlock()
	if off := time.Until(m.Time()).Abs(); off > 50*time.Millisecond {
		t.Errorf("%v off alone", off)
	}
}

func TestWhoReportsIsKnown(t *testing.T) {
	m := usageMesh(t, 3, "gateway-1")
	if !m.Reporting() {
		t.Error("nobody is known to report")
	}
	m.receiveUsageFrom("gateway-1", 2, usageMessage{})
	if m.Reporting() {
		t.Error("who gave the duty up is still taken for reporting")
	}
}

// A gateway of another deployment, or an earlier release, sends no usage.
func TestNothingIsSentWhereNothingIsReported(t *testing.T) {
	m, _, _ := meshes(t)
	m.take("127.0.0.1:9", &received{message: message{From: "x", Boot: 1, Sequence: 1, Usage: &usageMessage{Holds: true}}})
	if d := m.table.destinations(time.Now()); m.usageMessageFor(&d[0]) != nil || m.Reporting() {
		t.Error("usage is sent or received where none is reported")
	}
}
