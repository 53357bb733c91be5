package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/usage"
)

const (
	// usageEveryRounds is the number of broadcast rounds between two usage updates to a receiver.
	// It is small because the counts that a killed gateway has not sent yet are lost.
	usageEveryRounds = 2
	// clockEveryRounds is the number of broadcast rounds between two messages with the time of
	// day and the reporter flag to gateways that get no usage updates. With more than
	// clockEveryRounds*clockMessagesPerRound listed gateways, it is their number divided by
	// clockMessagesPerRound instead, so that a gateway's traffic doesn't grow with their number.
	clockEveryRounds      = 10
	clockMessagesPerRound = 8
	// usageSuccessors is the number of gateways that receive usage updates in addition to the
	// reporter. The next reporter is one of them.
	usageSuccessors = 2
)

// UsageExchange connects a Mesh to usage reporting.
type UsageExchange struct {
	// IsReporter reports whether this gateway currently reports usage to the platform.
	IsReporter func() bool
	// UpdateSince returns the counts that changed after the change whose sequence number a receiver
	// has acknowledged.
	UpdateSince func(acknowledged uint64) usage.Update
	// Merge merges another gateway's update. MergedSequence returns the sequence number of the last
	// change merged from a gateway, which is then acknowledged to it.
	Merge          func(now time.Time, from usage.Source, u usage.Update)
	MergedSequence func(from usage.Source) uint64
}

// usageMessage is the usage part of a datagram, specific to its receiver.
type usageMessage struct {
	// WallClock is the sender's time of day, in Unix milliseconds.
	WallClock int64 `cbor:"1,keyasint"`
	// Reporter is whether the sender reports usage to the platform.
	Reporter bool `cbor:"2,keyasint,omitempty"`
	// Acked is the sequence number of the receiver's last change that the sender has merged.
	Acked uint64 `cbor:"3,keyasint,omitempty"`
	// Update is nil for a receiver that is sent no usage update.
	Update *usage.Update `cbor:"4,keyasint,omitempty"`
}

// peerUsage is what is known from the usage parts of another gateway's datagrams.
type peerUsage struct {
	// reporter is whether the peer reports usage to the platform.
	reporter bool
	// ackReceived is the sequence number of this gateway's last change that the peer has merged.
	ackReceived uint64
	// clockOffset is the peer's time of day minus this VM's boottime clock, in milliseconds; it
	// is valid if clockKnown is set.
	clockOffset int64
	clockKnown  bool
	// ackSent is the sequence number of the peer's last change that was acknowledged to it.
	ackSent uint64
}

// receiveUsage processes the usage part of a datagram.
func (m *Mesh) receiveUsage(now time.Time, in *decodedMessage) {
	if m.Usage == nil || in.Usage == nil {
		return
	}
	msg := in.Usage
	m.table.receiveUsage(in.From, msg, msg.WallClock-boottime.Now().Milliseconds())
	if msg.Update != nil {
		m.Usage.Merge(now, usage.Source{Gateway: in.From, BootID: in.BootID}, *msg.Update)
	}
}

// receiveUsage records the usage part of a datagram. clockOffset is the sender's time of day minus
// this VM's boottime clock, in milliseconds.
func (t *table) receiveUsage(from string, msg *usageMessage, clockOffset int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.getOrAdd(from)
	p.usage = peerUsage{reporter: msg.Reporter, ackReceived: msg.Acked, clockOffset: clockOffset, clockKnown: true, ackSent: p.usage.ackSent}
}

// usageMessageFor returns the usage part of a receiver's next datagram; nil if usage isn't
// reported or there is nothing to send in this round.
func (m *Mesh) usageMessageFor(dst *destination) *usageMessage {
	if m.Usage == nil {
		return nil
	}
	mergedSequence := m.Usage.MergedSequence(usage.Source{Gateway: dst.name, BootID: dst.bootID})
	sendUpdate := dst.receivesUsage && m.sequence%usageEveryRounds == 0
	if !sendUpdate && mergedSequence == dst.ackSent && m.sequence%uint64(max(clockEveryRounds, m.ListedGateways()/clockMessagesPerRound)) != 0 {
		return nil
	}
	msg := &usageMessage{WallClock: time.Now().UnixMilli(), Reporter: m.Usage.IsReporter(), Acked: mergedSequence}
	m.table.recordAckSent(dst.name, mergedSequence)
	if sendUpdate {
		update := m.Usage.UpdateSince(dst.ackReceived)
		msg.Update = &update
	}
	return msg
}

// recordAckSent records the sequence number that has been acknowledged to a gateway. If that datagram
// is lost, the next one with a usage part repeats the acknowledgement.
func (t *table) recordAckSent(name string, sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		p.usage.ackSent = sequence
	}
}

// selectUsageReceivers marks the receivers of usage updates among the live peers: the reporters, and
// usageSuccessors others, of which those that can reach the store come first. If no gateway can reach
// it, the successors still preserve the counts of gateways that exit in the meantime.
func (t *table) selectUsageReceivers(now time.Time, destinations []destination) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var candidates []*destination
	for i := range destinations {
		p := t.getOrAdd(destinations[i].name)
		switch {
		case !p.isLive(now):
		case p.usage.reporter:
			destinations[i].receivesUsage = true
		default:
			candidates = append(candidates, &destinations[i])
		}
	}
	unreachable := func(dst *destination) int {
		if t.getOrAdd(dst.name).storeMode == storeUnreachable {
			return 1
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b *destination) int {
		return cmp.Or(cmp.Compare(unreachable(a), unreachable(b)), cmp.Compare(hashName(a.name), hashName(b.name)))
	})
	for _, dst := range candidates[:min(len(candidates), usageSuccessors)] {
		dst.receivesUsage = true
	}
}

// HasUsageReporter reports whether a live peer reports usage to the platform.
func (m *Mesh) HasUsageReporter() bool {
	now := time.Now()
	m.table.mu.Lock()
	defer m.table.mu.Unlock()
	for _, p := range m.table.peers {
		if p.isLive(now) && p.usage.reporter {
			return true
		}
	}
	return false
}

// MedianTime estimates the true time by the median of the live gateways' times of day, this one's
// included. With wrong clocks on up to a third of the VMs, it still lies within the others' times.
func (m *Mesh) MedianTime() time.Time {
	now, bootMillis := time.Now(), boottime.Now().Milliseconds()
	offsets := append(m.table.clockOffsets(now), now.UnixMilli()-bootMillis)
	slices.Sort(offsets)
	return time.UnixMilli(bootMillis + offsets[len(offsets)/2])
}

// clockOffsets returns the differences between the live peers' times of day and this VM's
// boottime clock, in milliseconds.
func (t *table) clockOffsets(now time.Time) []int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	offsets := make([]int64, 0, len(t.peers)+1)
	for _, p := range t.peers {
		if p.isLive(now) && p.usage.clockKnown {
			offsets = append(offsets, p.usage.clockOffset)
		}
	}
	return offsets
}
