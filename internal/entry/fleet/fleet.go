// Package fleet is what an entry knows of the agents: who is there, who
// leaves, and a connection to a subset of them. Addresses come from the
// platform's VM list, which lags; what an agent says of itself comes sooner
// and goes before it. Start reading at Fleet.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
)

const (
	// ListEvery is how often the VM list is read, which lags by more anyway.
	ListEvery = 3 * time.Second
	// subsetSize is to how many agents of one model or service an entry
	// connects. At the target size (100 engines a model) an agent then has
	// about 100 entries' connections, and a request still has 24 engines to
	// choose from; today's fleets (at most 18) are covered whole.
	subsetSize = 24
)

// Config is what a Fleet works with.
type Config struct {
	Process   string
	Zone      string
	SystemKey string
	Local     wire.Local
	Holder    *targets.Holder
	List      storage.VMList
	Ring      *timeline.Ring
	Log       *zap.Logger
	// Fallback is asked for the VM list while the platform is down.
	Fallback func(ctx context.Context) ([]storage.VM, error)
	// Gone hears of each agent that this entry no longer connects to. It must
	// not call the Fleet.
	Gone func(agent string)
}

// Fleet holds the links. Lock order: Fleet.mu before link.mu.
type Fleet struct {
	config Config

	mu     sync.Mutex
	vms    []storage.VM
	listed time.Time
	links  map[string]*member
	wg     conc.WaitGroup
}

// member is a link and the way to end it.
type member struct {
	link   *link
	cancel context.CancelFunc
}

// New returns a Fleet that knows nobody yet.
func New(c Config) *Fleet {
	return &Fleet{config: c, links: make(map[string]*member)}
}

// Run follows the VM list until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	f.wg.Go(func() { f.spread(ctx) })
	timer := time.NewTicker(ListEvery)
	defer timer.Stop()
	for {
		f.refresh(ctx)
		if f.config.Holder.Behind() {
			f.announce()
		}
		select {
		case <-ctx.Done():
			f.wg.Wait()
			return
		case <-timer.C:
		}
	}
}

func (f *Fleet) refresh(ctx context.Context) {
	vms, err := f.config.List.VMs(ctx)
	if err != nil && f.Known() {
		f.config.Log.Warn(logging.EventPlatformDown, logging.Reason(err.Error()))
		return
	}
	if err != nil {
		vms, err = f.config.Fallback(ctx)
	}
	if err != nil {
		f.config.Log.Warn(logging.EventPlatformDown, logging.Reason(err.Error()))
		return
	}
	f.adopt(ctx, vms)
}

// Known reports whether a VM list was ever read.
func (f *Fleet) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.listed.IsZero()
}

// VMs returns the last list that was read and when.
func (f *Fleet) VMs() ([]storage.VM, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms, f.listed
}

func (f *Fleet) adopt(ctx context.Context, vms []storage.VM) {
	wanted := f.subset(vms)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = vms
	f.listed = time.Now()
	f.drop(wanted)
	f.add(ctx, wanted)
}

// drop ends the links to VMs that are no longer wanted, unless an answer is
// still expected there.
func (f *Fleet) drop(wanted map[string]storage.VM) {
	for name, m := range f.links {
		if _, ok := wanted[name]; ok || m.link.busy() {
			continue
		}
		m.cancel()
		delete(f.links, name)
		f.config.Ring.Record(timeline.KindLeave, "", "", name)
		f.config.Gone(name)
	}
}

func (f *Fleet) add(ctx context.Context, wanted map[string]storage.VM) {
	for name, vm := range wanted {
		if m, ok := f.links[name]; ok {
			m.link.update(vm)
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := newLink(f, vm)
		f.links[name] = &member{link: l, cancel: cancel}
		f.config.Ring.Record(timeline.KindJoin, "", "", name)
		f.wg.Go(func() { l.run(linkCtx) })
	}
}

// spread tells all agents when newer targets are in force here.
func (f *Fleet) spread(ctx context.Context) {
	for {
		changed := f.config.Holder.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			f.announce()
		}
	}
}

func (f *Fleet) announce() {
	for _, l := range f.snapshot() {
		l.send(wire.Message{})
	}
}

func (f *Fleet) snapshot() []*link {
	f.mu.Lock()
	defer f.mu.Unlock()
	links := make([]*link, 0, len(f.links))
	for _, m := range f.links {
		links = append(links, m.link)
	}
	return links
}

func (f *Fleet) find(agent string) (*link, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.links[agent]
	if !ok {
		return nil, false
	}
	return m.link, true
}
