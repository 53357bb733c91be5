package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/usage"
)

// newUsageMesh returns a Mesh that knows some peers, of which one reports usage.
func newUsageMesh(t *testing.T, peerCount int, reporter string) *Mesh {
	t.Helper()
	m, _, _ := newMeshPair(t)
	m.Usage = &UsageExchange{
		IsReporter:     func() bool { return false },
		UpdateSince:    func(acknowledged uint64) usage.Update { return usage.Update{Sequence: acknowledged + 1} },
		Merge:          func(time.Time, usage.Source, usage.Update) {},
		MergedSequence: func(usage.Source) uint64 { return 0 },
	}
	for i := range peerCount {
		name := fmt.Sprintf("gateway-%d", i)
		m.deliverUsage(name, 1, usageMessage{Reporter: name == reporter, WallClock: time.Now().UnixMilli()})
	}
	return m
}

// deliverUsage processes a datagram with a usage part from a gateway that can reach the store.
func (m *Mesh) deliverUsage(from string, sequence uint64, msg usageMessage) {
	m.handle("127.0.0.1:9", &decodedMessage{
		message: message{From: from, BootID: 7, Sequence: sequence, Usage: &msg}, sharedState: sharedState{StoreMode: notPolling},
	})
}

// usageDestinations returns the destinations of the next round, with the usage receivers
// selected.
func (m *Mesh) usageDestinations() []destination {
	destinations := m.table.destinations()
	m.table.selectUsageReceivers(time.Now(), destinations)
	return destinations
}

// Guards against usage traffic that grows with the number of gateways: updates go to the reporter and
// two successors only.
func TestUsageGoesToReporterAndSuccessors(t *testing.T) {
	for _, peerCount := range []int{1, 2, 30, 409} {
		m := newUsageMesh(t, peerCount, "gateway-0")
		receivers, reporterReceives := 0, false
		for _, d := range m.usageDestinations() {
			m.sequence = usageEveryRounds
			if msg := m.usageMessageFor(&d); msg != nil && msg.Update != nil {
				receivers++
				reporterReceives = reporterReceives || d.name == "gateway-0"
			}
		}
		if want := min(peerCount, 1+usageSuccessors); receivers != want || !reporterReceives {
			t.Errorf("%d of %d gateways receive updates, want %d; reporter receives %v", receivers, peerCount, want, reporterReceives)
		}
	}
}

// Acknowledged changes are not sent again unless the receiver restarts, which loses what it merged.
func TestUsageResumesAfterTheAcknowledgedChange(t *testing.T) {
	m := newUsageMesh(t, 1, "gateway-0")
	nextSequence := func() uint64 {
		m.sequence = usageEveryRounds
		return m.usageMessageFor(&m.usageDestinations()[0]).Update.Sequence
	}
	m.deliverUsage("gateway-0", 2, usageMessage{Reporter: true, Acked: 41})
	if got := nextSequence(); got != 42 {
		t.Errorf("update starts at %d, want 42 after acknowledgement 41", got)
	}
	m.handle("127.0.0.1:9", &decodedMessage{message: message{From: "gateway-0", BootID: 8, Sequence: 1}})
	if got := nextSequence(); got != 1 {
		t.Errorf("update starts at %d after a restart of the receiver, want 1", got)
	}
	if m.HasUsageReporter() {
		t.Error("a restarted gateway is still taken for the reporter")
	}
}

// Guards against a reporter that acts at the wrong time because clocks are wrong: a third of the VMs
// may have a wrong time of day.
func TestClockMedianToleratesAThirdOfWrongClocks(t *testing.T) {
	m := newUsageMesh(t, 0, "")
	const gateways = 30
	for i := range gateways {
		at := time.Now()
		if i < gateways/3 {
			at = at.Add(2 * time.Second)
		}
		m.deliverUsage(fmt.Sprint("gateway-", i), 1, usageMessage{WallClock: at.UnixMilli()})
	}
	if off := time.Until(m.MedianTime()).Abs(); off > 50*time.Millisecond {
		t.Errorf("median time is off by %v", off)
	}
	// The offsets of silent peers are ignored.
	m.table.mu.Lock()
	for _, p := range m.table.peers {
		p.lastReceived = time.Now().Add(-2 * peerTimeout)
		p.usage.clockOffset = boottime.Now().Milliseconds()
	}
	m.table.mu.Unlock()
	if off := time.Until(m.MedianTime()).Abs(); off > 50*time.Millisecond {
		t.Errorf("median time is off by %v without live peers", off)
	}
}

// Guards against treating a gateway as the reporter after it has stopped reporting.
func TestCurrentReporterIsKnown(t *testing.T) {
	m := newUsageMesh(t, 3, "gateway-1")
	if !m.HasUsageReporter() {
		t.Error("no reporter is known")
	}
	m.deliverUsage("gateway-1", 2, usageMessage{})
	if m.HasUsageReporter() {
		t.Error("a gateway that stopped reporting is still taken for the reporter")
	}
}

// A gateway with usage reporting disabled sends no usage, and ignores that of gateways with other
// settings.
func TestNoUsageIsSentIfUsageReportingIsDisabled(t *testing.T) {
	m, _, _ := newMeshPair(t)
	m.handle("127.0.0.1:9", &decodedMessage{message: message{From: "x", BootID: 1, Sequence: 1, Usage: &usageMessage{Reporter: true}}})
	if d := m.usageDestinations(); m.usageMessageFor(&d[0]) != nil || m.HasUsageReporter() {
		t.Error("usage is exchanged although usage reporting is disabled")
	}
}

// Fields unknown to this release are ignored.
func TestUsageMessageOfLaterReleaseIsDecoded(t *testing.T) {
	laterMessage := map[int]any{1: 1000, 2: true, 3: 7, 4: map[int]any{1: 9, 2: 900, 9: "later"}, 9: []int{1}}
	encoded, err := cbor.Marshal(laterMessage)
	if err != nil {
		t.Fatal(err)
	}
	var msg usageMessage
	if err := cbor.Unmarshal(encoded, &msg); err != nil || !msg.Reporter || msg.Acked != 7 || msg.Update.Sequence != 9 {
		t.Errorf("got %+v, %v", msg, err)
	}
}

// Usage traffic must fit into its part of the three kilobytes per second of control traffic
// that a gateway may send, whatever the number of gateways and customers. Not measured is the
// reporter itself, which acknowledges updates to all gateways.
func TestUsageTrafficStaysWithinBudget(t *testing.T) {
	const seconds, maxBytesPerSecond = 10, 3000
	for _, c := range []struct{ gateways, customers, perSecond int }{{31, 24, 18}, {68, 40, 12}, {410, 400, 9}} {
		m := newUsageMesh(t, c.gateways-1, "gateway-0")
		now := time.Unix(1_700_000_000, 0)
		counter := usage.NewCounter(usage.Windows{Length: 5 * time.Second}, func() time.Time { return now })
		m.Usage.UpdateSince = counter.UpdateSince
		sentBytes, bytesToAll := 0, 0
		for tick := range 10 * seconds {
			m.sequence = uint64(tick)
			for i := range c.perSecond / 10 * 10 {
				if i%10 == tick%10 {
					counter.Add(fmt.Sprintf("customer%d", (tick*7+i*13)%c.customers))
				}
			}
			if tick%usageEveryRounds == 0 {
				encoded, err := cbor.Marshal(counter.UpdateSince(0))
				if err != nil {
					t.Fatal(err)
				}
				bytesToAll += len(encoded) * (c.gateways - 1)
			}
			for _, d := range m.usageDestinations() {
				// The update sent two datagrams ago is acknowledged by now.
				m.deliverUsage(d.name, uint64(tick)+2, usageMessage{Reporter: d.name == "gateway-0", Acked: d.ackReceived})
				msg := m.usageMessageFor(&d)
				if msg == nil {
					continue
				}
				encoded, err := cbor.Marshal(msg)
				if err != nil {
					t.Fatal(err)
				}
				sentBytes += len(encoded)
				if msg.Update != nil {
					m.deliverUsage(d.name, uint64(tick)+3, usageMessage{Reporter: d.name == "gateway-0", Acked: msg.Update.Sequence})
				}
			}
			now = now.Add(100 * time.Millisecond)
		}
		if sentBytes/seconds > maxBytesPerSecond {
			t.Errorf("%d bytes per second of usage at %d gateways", sentBytes/seconds, c.gateways)
		}
		t.Logf("%d gateways, %d customers: %d bytes per second; sending all counts to all gateways: %d", c.gateways, c.customers, sentBytes/seconds, bytesToAll/seconds)
	}
}

// While no gateway can reach the store, the counts of gateways that exit must still be preserved.
func TestUsageIsSentWhileTheStoreIsUnreachable(t *testing.T) {
	m := newUsageMesh(t, 5, "")
	for i := range 5 {
		m.handle("127.0.0.1:9", &decodedMessage{
			message: message{From: fmt.Sprintf("gateway-%d", i), BootID: 7, Sequence: 2, Usage: &usageMessage{}}, sharedState: sharedState{StoreMode: storeUnreachable},
		})
	}
	receivers := 0
	for _, d := range m.usageDestinations() {
		if d.receivesUsage {
			receivers++
		}
	}
	if receivers != usageSuccessors {
		t.Errorf("%d gateways receive updates, want %d", receivers, usageSuccessors)
	}
}
