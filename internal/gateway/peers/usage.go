package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/usage"
)

const (
	// usageInterval is every which datagram carries usage to a receiver: what a killed gateway
	// hasn't sent is lost.
	usageInterval = 2
	// clockInterval is every which datagram carries the time of day, and who reports, to
	// gateways that get no usage; where there are more than clockPeers for each of these it is
	// longer, so that what a gateway sends doesn't grow with their number.
	clockInterval = 10
	clockPeers    = 8
	// usageSuccessors is how many gateways receive usage beside the one that reports it: the
	// next one to report it is among them.
	usageSuccessors = 2
)

// Usage is this gateway's part in the report of usage.
type Usage struct {
	// Holds says whether it is the one that reports.
	Holds func() bool
	// Update returns what has changed after what a receiver has acknowledged.
	Update func(acknowledged uint64) usage.Update
	// Merge merges another gateway's update, and Sequence is the last change that was merged,
	// to be acknowledged.
	Merge    func(now time.Time, from usage.Source, u usage.Update)
	Sequence func(from usage.Source) uint64
}

// usageMessage is a datagram's part on usage, for one receiver.
type usageMessage struct {
	// WallClock is the sender's, in Unix milliseconds.
	WallClock int64 `cbor:"1,keyasint"`
	Holds     bool  `cbor:"2,keyasint,omitempty"`
	// Acknowledged is the receiver's last change that the sender has merged.
	Acknowledged uint64 `cbor:"3,keyasint,omitempty"`
	// Update is nil for a receiver that needs none.
	Update *usage.Update `cbor:"4,keyasint,omitempty"`
}

// usagePeer is what is known of another gateway's part in the report.
type usagePeer struct {
	holds        bool
	acknowledged uint64
	// clockOffset is its time of day less this VM's boot time, in milliseconds; known says
	// that there is one.
	clockOffset int64
	known       bool
	// ackSent is what was last acknowledged to it.
	ackSent uint64
}

// receiveUsage takes a datagram's part on usage.
func (m *Mesh) receiveUsage(now time.Time, in *received) {
	if m.Usage == nil || in.Usage == nil {
		return
	}
	msg := in.Usage
	m.table.receiveUsage(in.From, msg, msg.WallClock-boottime.Now().Milliseconds())
	if msg.Update != nil {
		m.Usage.Merge(now, usage.Source{Gateway: in.From, Start: in.Boot}, *msg.Update)
	}
}

func (t *table) receiveUsage(from string, msg *usageMessage, clockOffset int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(from)
	p.usage = usagePeer{holds: msg.Holds, acknowledged: msg.Acknowledged, clockOffset: clockOffset, known: true, ackSent: p.usage.ackSent}
}

// usageMessageFor is a receiver's part of the next datagram; nil where no usage is reported,
// or there is nothing to send to it this time.
func (m *Mesh) usageMessageFor(d *destination) *usageMessage {
	if m.Usage == nil {
		return nil
	}
	merged := m.Usage.Sequence(usage.Source{Gateway: d.name, Start: d.boot})
	update := d.receivesUsage && m.sequence%usageInterval == 0
	if !update && merged == d.ackSent && m.sequence%uint64(max(clockInterval, m.Listed()/clockPeers)) != 0 {
		return nil
	}
	msg := &usageMessage{WallClock: time.Now().UnixMilli(), Holds: m.Usage.Holds(), Acknowledged: merged}
	m.table.acknowledged(d.name, merged)
	if update {
		u := m.Usage.Update(d.acknowledged)
		msg.Update = &u
	}
	return msg
}

// acknowledged notes what has been acknowledged to a gateway. Should that datagram be lost,
// the next one that carries the time of day acknowledges it again.
func (t *table) acknowledged(name string, sequence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		p.usage.ackSent = sequence
	}
}

// selectUsageReceivers marks who receives usage: the gateways that report it, and their
// successors, those first that the store answers. While it is away for all the successors
// keep the counts of gateways that end meanwhile.
func (t *table) selectUsageReceivers(now time.Time, all []destination) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next []*destination
	for i := range all {
		p := t.peer(all[i].name)
		switch {
		case !p.live(now):
		case p.usage.holds:
			all[i].receivesUsage = true
		default:
			next = append(next, &all[i])
		}
	}
	away := func(d *destination) int {
		if t.peer(d.name).follows == turnedAway {
			return 1
		}
		return 0
	}
	slices.SortFunc(next, func(a, b *destination) int {
		return cmp.Or(cmp.Compare(away(a), away(b)), cmp.Compare(hash(a.name), hash(b.name)))
	})
	for _, d := range next[:min(len(next), usageSuccessors)] {
		d.receivesUsage = true
	}
}

// Reporting reports whether a live peer reports usage.
func (m *Mesh) Reporting() bool {
	now := time.Now()
	m.table.mu.Lock()
	defer m.table.mu.Unlock()
	for _, p := range m.table.peers {
		if p.live(now) && p.usage.holds {
			return true
		}
	}
	return false
}

// Time is true time as far as it can be known: the median of the gateways' times of day,
// which neither a VM whose clock was set nor a third of them moves.
func (m *Mesh) Time() time.Time {
	now, boot := time.Now(), boottime.Now().Milliseconds()
	all := append(m.table.clockOffsets(now), now.UnixMilli()-boot)
	slices.Sort(all)
	return time.UnixMilli(boot + all[len(all)/2])
}

// clockOffsets are the differences between the live peers' times of day and this VM's boot
// time, in milliseconds.
func (t *table) clockOffsets(now time.Time) []int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]int64, 0, len(t.peers)+1)
	for _, p := range t.peers {
		if p.live(now) && p.usage.known {
			all = append(all, p.usage.clockOffset)
		}
	}
	return all
}
