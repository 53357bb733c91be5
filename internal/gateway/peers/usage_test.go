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
		Take:     func(time.Time, usage.Source, usage.Update) {},
		Sequence: func(usage.Source) uint64 { return 0 },
	}
	for i := range peers {
		name := fmt.Sprintf("gateway-%d", i)
		m.hearUsage(name, 1, usageTold{Holds: name == reports, TimeOfDay: time.Now().UnixMilli()})
	}
	return m
}

// hearUsage takes a datagram of another gateway that the store answers.
func (m *Mesh) hearUsage(from string, sequence uint64, told usageTold) {
	m.take("127.0.0.1:9", &received{
		message: message{From: from, Boot: 7, Sequence: sequence, Usage: &told}, state: state{Follows: resting},
	})
}

// Counts go to the gateway that reports and to two successors, not to all.
func TestUsageIsToldToFew(t *testing.T) {
	for _, peers := range []int{1, 2, 30, 409} {
		m := usageMesh(t, peers, "gateway-0")
		told, holder := 0, false
		for _, d := range m.table.destinations(time.Now()) {
			if m.sequence = usageEvery; m.usageFor(&d).Update != nil {
				told++
				holder = holder || d.name == "gateway-0"
			}
		}
		if want := min(peers, 1+usageSuccessors); told != want || !holder {
			t.Errorf("%d of %d gateways are told, want %d; the one that reports: %v", told, peers, want, holder)
		}
	}
}

// What a receiver has acknowledged isn't told again, until it starts anew.
func TestUsageGoesOnWhereItWasAcknowledged(t *testing.T) {
	m := usageMesh(t, 1, "gateway-0")
	next := func() uint64 {
		m.sequence = usageEvery
		return m.usageFor(&m.table.destinations(time.Now())[0]).Update.Sequence
	}
	m.hearUsage("gateway-0", 2, usageTold{Holds: true, Acknowledged: 41})
	if got := next(); got != 42 {
		t.Errorf("told from %d on, 41 are acknowledged", got)
	}
	m.take("127.0.0.1:9", &received{message: message{From: "gateway-0", Boot: 8, Sequence: 1}})
	if got := next(); got != 1 {
		t.Errorf("told from %d on after a start of the receiver", got)
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
		m.hearUsage(fmt.Sprint("gateway-", i), 1, usageTold{TimeOfDay: at.UnixMilli()})
	}
	if off := time.Until(m.Time()).Abs(); off > 50*time.Millisecond {
		t.Errorf("%v off", off)
	}
	// Whoever fell silent has no say.
	m.table.mu.Lock()
	for _, p := range m.table.peers {
		p.heard = time.Now().Add(-2 * silentAfter)
		p.usage.ahead = boottime.Now().Milliseconds()
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
	m.hearUsage("gateway-1", 2, usageTold{})
	if m.Reporting() {
		t.Error("who gave the duty up is still taken for reporting")
	}
}

// A gateway of another deployment, or an earlier release, tells nothing of usage.
func TestNothingIsToldWhereNothingIsReported(t *testing.T) {
	m, _, _ := meshes(t)
	m.take("127.0.0.1:9", &received{message: message{From: "x", Boot: 1, Sequence: 1, Usage: &usageTold{Holds: true}}})
	if d := m.table.destinations(time.Now()); m.usageFor(&d[0]) != nil || m.Reporting() {
		t.Error("usage is told or heard where none is reported")
	}
}
