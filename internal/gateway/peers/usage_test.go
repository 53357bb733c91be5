package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

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

// receivers are the destinations of the next datagrams.
func (m *Mesh) receivers() []destination {
	all := m.table.destinations()
	m.table.selectUsageReceivers(time.Now(), all)
	return all
}

// Counts go to the gateway that reports and to two successors, not to all.
func TestUsageIsSentToFew(t *testing.T) {
	for _, peers := range []int{1, 2, 30, 409} {
		m := usageMesh(t, peers, "gateway-0")
		receivers, holder := 0, false
		for _, d := range m.receivers() {
			m.sequence = usageInterval
			if msg := m.usageMessageFor(&d); msg != nil && msg.Update != nil {
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
		return m.usageMessageFor(&m.receivers()[0]).Update.Sequence
	}
	m.receiveUsageFrom("gateway-0", 2, usageMessage{Holds: true, Acknowledged: 41})
	if got := next(); got != 42 {
		t.Errorf("sent from %d on, 41 are acknowledged", got)
	}
	m.take("127.0.0.1:9", &received{message: message{From: "gateway-0", Boot: 8, Sequence: 1}})
	if got := next(); got != 1 {
		t.Errorf("sent from %d on after a start of the receiver", got)
	}
	if m.Reporting() {
		t.Error("a gateway that has started again is taken for the holder that it was")
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
		p.received = time.Now().Add(-2 * silentAfter)
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
	if d := m.receivers(); m.usageMessageFor(&d[0]) != nil || m.Reporting() {
		t.Error("usage is sent or received where none is reported")
	}
}

// A field that a release doesn't know is passed over.
func TestLaterReleasesUsageIsRead(t *testing.T) {
	later := map[int]any{1: 1000, 2: true, 3: 7, 4: map[int]any{1: 9, 2: 900, 9: "later"}, 9: []int{1}}
	encoded, err := cbor.Marshal(later)
	if err != nil {
		t.Fatal(err)
	}
	var msg usageMessage
	if err := cbor.Unmarshal(encoded, &msg); err != nil || !msg.Holds || msg.Acknowledged != 7 || msg.Update.Sequence != 9 {
		t.Errorf("%+v, %v", msg, err)
	}
}

// Usage has its part of the three kilobytes of control traffic that a gateway may send in a
// second, whatever the number of gateways and customers. (Who reports acknowledges to all.)
func TestSizesOfUsage(t *testing.T) {
	const seconds, most = 10, 3000
	for _, c := range []struct{ gateways, customers, perSecond int }{{31, 24, 18}, {68, 40, 12}, {410, 400, 9}} {
		m := usageMesh(t, c.gateways-1, "gateway-0")
		now := time.Unix(1_700_000_000, 0)
		counter := usage.NewCounter(usage.Windows{Length: 5 * time.Second}, func() time.Time { return now })
		m.Usage.Update = counter.Update
		bytes, toAll := 0, 0
		for tick := range 10 * seconds {
			m.sequence = uint64(tick)
			for i := range c.perSecond / 10 * 10 {
				if i%10 == tick%10 {
					counter.Began(fmt.Sprintf("customer%d", (tick*7+i*13)%c.customers))
				}
			}
			if tick%usageInterval == 0 {
				encoded, err := cbor.Marshal(counter.Update(0))
				if err != nil {
					t.Fatal(err)
				}
				toAll += len(encoded) * (c.gateways - 1)
			}
			for _, d := range m.receivers() {
				// What was sent two datagrams ago is acknowledged by now.
				m.receiveUsageFrom(d.name, uint64(tick)+2, usageMessage{Holds: d.name == "gateway-0", Acknowledged: d.acknowledged})
				msg := m.usageMessageFor(&d)
				if msg == nil {
					continue
				}
				encoded, err := cbor.Marshal(msg)
				if err != nil {
					t.Fatal(err)
				}
				bytes += len(encoded)
				if msg.Update != nil {
					m.receiveUsageFrom(d.name, uint64(tick)+3, usageMessage{Holds: d.name == "gateway-0", Acknowledged: msg.Update.Sequence})
				}
			}
			now = now.Add(100 * time.Millisecond)
		}
		if bytes/seconds > most {
			t.Errorf("%d bytes a second of usage at %d gateways", bytes/seconds, c.gateways)
		}
		t.Logf("%d gateways, %d customers: %d bytes a second; all counts to all gateways: %d", c.gateways, c.customers, bytes/seconds, toAll/seconds)
	}
}

// While the store answers nobody the counts of gateways that end are kept all the same.
func TestUsageIsSentWhileTheStoreIsAway(t *testing.T) {
	m := usageMesh(t, 5, "")
	for i := range 5 {
		m.take("127.0.0.1:9", &received{
			message: message{From: fmt.Sprintf("gateway-%d", i), Boot: 7, Sequence: 2, Usage: &usageMessage{}}, state: state{Follows: turnedAway},
		})
	}
	receivers := 0
	for _, d := range m.receivers() {
		if d.receivesUsage {
			receivers++
		}
	}
	if receivers != usageSuccessors {
		t.Errorf("%d gateways receive updates, want %d", receivers, usageSuccessors)
	}
}
