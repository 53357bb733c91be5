// Package fleet maintains an entry's connections to a subset of the agents and
// the last known state of each agent. Addresses come from the platform's VM
// list, which lags; what an agent reports about itself is newer and takes
// precedence. Start reading at Fleet.
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
	// VMListInterval is how often the VM list is read. The list itself lags by
	// more than that.
	VMListInterval = 3 * time.Second
	// subsetSize is the maximum number of agents of one model or plain
	// service that an entry connects to. At the target size (100 backend
	// servers per model) each agent then has connections from about 100
	// entries, and a request can choose among 24 backend servers. Entries connect
	// to all agents of today's fleets, which have at most 18.
	subsetSize = 24
)

// Config holds the settings and dependencies of a Fleet.
type Config struct {
	// Process is this entry's name, Zone its availability zone.
	Process   string
	Zone      string
	SystemKey string
	Local     wire.Config
	Targets   *targets.Cache
	VMList    storage.VMList
	Timeline  *timeline.Ring
	Log       *zap.Logger
	// FallbackVMList returns the VM list while the platform is unavailable. It
	// is called only until a first list has been read.
	FallbackVMList func(ctx context.Context) ([]storage.VM, error)
	// OnAgentRemoved is called for each agent that this entry no longer
	// connects to, with the Fleet's lock held. It must not call the Fleet.
	OnAgentRemoved func(agent string)
}

// Fleet maintains the links to the agents. It is safe for concurrent use. Lock
// order: Fleet.mu before link.mu.
type Fleet struct {
	config Config

	mu       sync.Mutex
	vms      []storage.VM
	listedAt time.Time
	links    map[string]*managedLink
	wg       conc.WaitGroup
}

// managedLink is a link and the function that ends it.
type managedLink struct {
	link   *link
	cancel context.CancelFunc
}

// New returns a Fleet without any agents. Run connects to them.
func New(c Config) *Fleet {
	return &Fleet{config: c, links: make(map[string]*managedLink)}
}

// Run keeps the links up to date with the VM list and announces changed targets
// until ctx ends, then waits for the links to close.
func (f *Fleet) Run(ctx context.Context) {
	f.wg.Go(func() { f.announceChanges(ctx) })
	ticker := time.NewTicker(VMListInterval)
	defer ticker.Stop()
	for {
		f.refresh(ctx)
		// The agents announce newer targets again when they receive an older
		// version from this entry.
		if f.config.Targets.Behind() {
			f.announceTargets()
		}
		select {
		case <-ctx.Done():
			f.wg.Wait()
			return
		case <-ticker.C:
		}
	}
}

// refresh reads the VM list. It keeps the last list if the platform is
// unavailable.
func (f *Fleet) refresh(ctx context.Context) {
	vms, err := f.config.VMList.VMs(ctx)
	if err != nil && f.HasVMList() {
		f.config.Log.Warn(logging.EventPlatformDown, logging.Reason(err.Error()))
		return
	}
	if err != nil {
		vms, err = f.config.FallbackVMList(ctx)
	}
	if err != nil {
		f.config.Log.Warn(logging.EventPlatformDown, logging.Reason(err.Error()))
		return
	}
	f.applyVMList(ctx, vms)
}

// HasVMList reports whether a VM list has ever been read.
func (f *Fleet) HasVMList() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.listedAt.IsZero()
}

// VMs returns the last VM list and the time when it was read.
func (f *Fleet) VMs() ([]storage.VM, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms, f.listedAt
}

// applyVMList stores a VM list and adds and removes links accordingly.
func (f *Fleet) applyVMList(ctx context.Context, vms []storage.VM) {
	wanted := f.subset(vms)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = vms
	f.listedAt = time.Now()
	f.removeLinks(wanted)
	f.addLinks(ctx, wanted)
}

// removeLinks ends the links to VMs that are not wanted, except those with
// pending tickets or Voids. The caller must hold f.mu.
func (f *Fleet) removeLinks(wanted map[string]storage.VM) {
	for name, m := range f.links {
		if _, ok := wanted[name]; ok || m.link.hasPendingWork() {
			continue
		}
		m.cancel()
		delete(f.links, name)
		f.config.Timeline.Record(timeline.KindLeave, "", "", name)
		f.config.OnAgentRemoved(name)
	}
}

// addLinks updates the existing links and starts the missing ones. The caller
// must hold f.mu.
func (f *Fleet) addLinks(ctx context.Context, wanted map[string]storage.VM) {
	for name, vm := range wanted {
		if m, ok := f.links[name]; ok {
			m.link.updateVM(vm)
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := newLink(f, vm)
		f.links[name] = &managedLink{link: l, cancel: cancel}
		f.config.Timeline.Record(timeline.KindJoin, "", "", name)
		f.wg.Go(func() { l.run(linkCtx) })
	}
}

// announceChanges announces the targets to all agents whenever newer ones come
// into force here.
func (f *Fleet) announceChanges(ctx context.Context) {
	for {
		changed := f.config.Targets.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			f.announceTargets()
		}
	}
}

// announceTargets sends an empty message to all agents; each message carries
// the sender's targets version.
func (f *Fleet) announceTargets() {
	for _, l := range f.snapshot() {
		l.send(wire.Message{})
	}
}

// snapshot returns the current links, so that callers can use them without f.mu.
func (f *Fleet) snapshot() []*link {
	f.mu.Lock()
	defer f.mu.Unlock()
	links := make([]*link, 0, len(f.links))
	for _, m := range f.links {
		links = append(links, m.link)
	}
	return links
}

func (f *Fleet) findLink(agent string) (*link, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.links[agent]
	if !ok {
		return nil, false
	}
	return m.link, true
}
