package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/usage"
)

const (
	// usageEvery is every which datagram tells of usage: what a gateway that is killed
	// hasn't told is lost.
	usageEvery = 2
	// usageSuccessors is how many gateways are told of usage beside the one that reports
	// it: the next one to report it is among them.
	usageSuccessors = 2
)

// Usage is this gateway's part in the report of usage.
type Usage struct {
	// Holds says whether it is the one that reports.
	Holds func() bool
	// Update returns what has changed after what a receiver has acknowledged.
	Update func(acknowledged uint64) usage.Update
	// Take takes what another gateway tells, and Sequence is how much of it was taken, to
	// be acknowledged.
	Take     func(now time.Time, from usage.Source, u usage.Update)
	Sequence func(from usage.Source) uint64
}

// usageTold is what a datagram says of usage to one receiver.
type usageTold struct {
	_ struct{} `cbor:",toarray"`
	// TimeOfDay is the sender's, in Unix milliseconds.
	TimeOfDay int64
	Holds     bool
	// Acknowledged is how much the sender has of what the receiver told.
	Acknowledged uint64
	// Update is nil for a receiver that needs none.
	Update *usage.Update
}

// usagePeer is what is known of another gateway's part in the report.
type usagePeer struct {
	holds        bool
	acknowledged uint64
	// ahead is its time of day less this VM's boot time, in milliseconds; known says that
	// it has told.
	ahead int64
	known bool
}

// takeUsage takes what a datagram says of usage.
func (m *Mesh) takeUsage(now time.Time, in *received) {
	if m.Usage == nil || in.Usage == nil {
		return
	}
	told := in.Usage
	m.table.takeUsage(in.From, told, told.TimeOfDay-boottime.Now().Milliseconds())
	if told.Update != nil {
		m.Usage.Take(now, usage.Source{Gateway: in.From, Start: in.Boot}, *told.Update)
	}
}

func (t *table) takeUsage(from string, told *usageTold, ahead int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(from)
	p.usage = usagePeer{holds: told.Holds, acknowledged: told.Acknowledged, ahead: ahead, known: true}
}

// usageFor is what a receiver is told; nil where no usage is reported.
func (m *Mesh) usageFor(d *destination) *usageTold {
	if m.Usage == nil {
		return nil
	}
	told := &usageTold{
		TimeOfDay: time.Now().UnixMilli(), Holds: m.Usage.Holds(),
		Acknowledged: m.Usage.Sequence(usage.Source{Gateway: d.name, Start: d.boot}),
	}
	if d.needsUsage && m.sequence%usageEvery == 0 {
		u := m.Usage.Update(d.acknowledged)
		told.Update = &u
	}
	return told
}

// markUsage marks who needs to be told of usage: the gateways that report it, and their
// successors.
func (t *table) markUsage(now time.Time, all []destination) {
	var next []*destination
	for i := range all {
		p := t.peers[all[i].name]
		switch {
		case now.Sub(p.heard) > silentAfter:
		case p.usage.holds:
			all[i].needsUsage = true
		case p.follows != turnedAway:
			next = append(next, &all[i])
		}
	}
	slices.SortFunc(next, func(a, b *destination) int { return cmp.Compare(hash(a.name), hash(b.name)) })
	for _, d := range next[:min(len(next), usageSuccessors)] {
		d.needsUsage = true
	}
}

// Reporting reports whether another gateway, heard of lately, reports usage.
func (m *Mesh) Reporting() bool {
	now := time.Now()
	m.table.mu.Lock()
	defer m.table.mu.Unlock()
	for _, p := range m.table.peers {
		if now.Sub(p.heard) <= silentAfter && p.usage.holds {
			return true
		}
	}
	return false
}

// Time is true time as far as it can be known: the median of the gateways' times of day,
// which neither a VM whose clock was set nor a third of them moves.
func (m *Mesh) Time() time.Time {
	now, boot := time.Now(), boottime.Now().Milliseconds()
	all := append(m.table.timesOfDay(now), now.UnixMilli()-boot)
	slices.Sort(all)
	return time.UnixMilli(boot + all[len(all)/2])
}

// timesOfDay are the differences between the times of day of the gateways that were heard of
// lately and this VM's boot time, in milliseconds.
func (t *table) timesOfDay(now time.Time) []int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]int64, 0, len(t.peers)+1)
	for _, p := range t.peers {
		if now.Sub(p.heard) <= silentAfter && p.usage.known {
			all = append(all, p.usage.ahead)
		}
	}
	return all
}
