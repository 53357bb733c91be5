// Package backend maintains the list of backend servers and counts the requests that this process
// has in flight at each. Start reading at Registry.
package backend

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/applepier/applepier/policy"
)

// expiryGrace is how long servers whose entries expired during a store outage stay in use after the
// store is back. Live servers renew their entries within about two seconds, so an entry still
// missing after that belongs to a server that is gone.
const expiryGrace = 2 * time.Second

// Registry holds the backend servers listed in the store. Servers, All and CountUsable read a
// snapshot without locking. The gateway applies the list, as it reads it from the store, through
// ReplaceAll and ApplyChanges, and reports the store's availability through the MarkStore methods.
// All methods are safe for concurrent use.
type Registry struct {
	// byService is the snapshot: the servers of each service, sorted by ID.
	byService atomic.Pointer[map[string][]*Server]
	loaded    atomic.Bool
	// OnRemove, if not nil, is called with the ID of each server removed from the list. It runs
	// with the Registry's lock held, so it must not call the Registry.
	OnRemove func(id string)

	// mu guards the fields below. OnRemove may acquire locks that come after mu in the lock order.
	mu      sync.Mutex
	servers map[string]*Server
	// expiring holds the servers whose entries expired during a store outage, with the time at
	// which each is removed.
	expiring map[string]time.Time
	// storeUnavailable is set while the store does not respond. storeRecoveredAt is when it last
	// responded again after an outage, or was restored from an older copy.
	storeUnavailable bool
	storeRecoveredAt time.Time
	// restoreGraceEnd is the time until which the list may still show the state of the older copy
	// from which the store was restored.
	restoreGraceEnd time.Time
	// tombstones holds the last entries of removed servers.
	tombstones tombstones
	// draining holds the instances that are known to drain.
	draining drainingInstances
	versions *versionHistory
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	r := &Registry{servers: map[string]*Server{}, expiring: map[string]time.Time{}, tombstones: tombstones{}, draining: drainingInstances{}, versions: newVersionHistory()}
	r.byService.Store(&map[string][]*Server{})
	return r
}

// Servers returns the servers of a service, sorted by ID. It leaves out those that were replaced, and
// those at whose address a later instance is listed. The caller must not modify the slice.
func (r *Registry) Servers(service string) []*Server {
	return (*r.byService.Load())[service]
}

// Loaded reports whether the list has been read at least once.
func (r *Registry) Loaded() bool { return r.loaded.Load() }

// Server returns a listed server, or nil if the ID is not listed.
func (r *Registry) Server(id string) *Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[id]
}

// All returns the servers that Servers returns, of all services and in no particular order.
func (r *Registry) All() []*Server {
	var all []*Server
	for _, list := range *r.byService.Load() {
		all = append(all, list...)
	}
	return all
}

// Entries returns the entries of all servers that the store lists, in no particular order. It leaves out
// those that were replaced.
func (r *Registry) Entries() []Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := make([]Info, 0, len(r.servers))
	for id, s := range r.servers {
		if _, expired := r.expiring[id]; !expired && !s.replaced {
			entries = append(entries, *s.Info())
		}
	}
	return entries
}

// CountUsable returns the number of servers in All that are not draining.
func (r *Registry) CountUsable() int {
	n := 0
	for _, s := range r.All() {
		if !s.Info().Draining {
			n++
		}
	}
	return n
}

// ReplaceAll sets the complete list as read from the store. unreadable holds the IDs of entries that
// could not be decoded; their servers are removed.
func (r *Registry) ReplaceAll(now time.Time, entries []Info, unreadable []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endStoreOutage(now)
	listed := make(map[string]bool, len(entries))
	r.deleteAll(now, unreadable)
	for _, info := range entries {
		listed[info.ID] = true
		r.applyFromStore(now, info)
	}
	for id := range r.servers {
		if !listed[id] {
			r.removeOrDefer(now, id)
		}
	}
	r.publishSnapshot()
	r.markLoaded(now)
}

// SeedFromPeer sets the list as received from another gateway, unless a list has already been
// loaded. It reports whether it did.
func (r *Registry) SeedFromPeer(entries []Info) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded.Load() {
		return false
	}
	now := time.Now()
	for _, info := range entries {
		r.apply(now, info)
	}
	r.publishSnapshot()
	r.markLoaded(now)
	return true
}

// markLoaded records that the list is known. r.mu must be held.
func (r *Registry) markLoaded(now time.Time) {
	if !r.loaded.Swap(true) {
		r.versions.since = now
	}
}

// ApplyChanges applies a change of the list. unreadable holds the IDs of entries that can no longer be
// decoded; their servers are removed.
func (r *Registry) ApplyChanges(now time.Time, changed []Info, removed, unreadable []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endStoreOutage(now)
	r.deleteAll(now, unreadable)
	for _, info := range changed {
		r.applyFromStore(now, info)
	}
	for _, id := range removed {
		r.removeOrDefer(now, id)
	}
	if len(changed)+len(removed)+len(unreadable) > 0 {
		r.publishSnapshot()
	}
}

// VersionsWithin returns the software versions that a service, given by its key, has had within a
// window before now. Servers that were replaced or are draining count, since their streams may still
// be resumed. The window is at most an hour.
func (r *Registry) VersionsWithin(now time.Time, service policy.Key, window time.Duration) Versions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.within(now, service, min(window, versionRetention))
}

// MarkChangesMissed records that servers may have been listed and removed again without having been known here.
func (r *Registry) MarkChangesMissed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.since = now
}

// MarkStoreUnavailable records that the store did not respond to a request, which need not have
// been for this list.
func (r *Registry) MarkStoreUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeUnavailable = true
}

// MarkStoreRestored records that the store was restored from an older copy. For expiryGrace after
// now, until servers have rewritten their entries, entries older than the known ones are ignored,
// and servers missing from the list are kept.
func (r *Registry) MarkStoreRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRecoveredAt = now
	r.restoreGraceEnd = now.Add(expiryGrace)
}

// MarkReplaced records that another instance responded at a server's address. The server has ended,
// although the list may still contain it for some time. MarkReplaced reports whether the server is
// listed and was not yet marked.
func (r *Registry) MarkReplaced(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil || s.replaced {
		return false
	}
	s.replaced = true
	r.publishSnapshot()
	return true
}

// MarkDraining records that an instance said of itself that it drains. Its entry may lack that for as
// long as the store doesn't take it. MarkDraining reports whether it wasn't known.
func (r *Registry) MarkDraining(now time.Time, server *Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	info := *server.Info()
	known := info.Draining || r.draining.contains(now, &info)
	info.Draining = true
	r.draining.add(now, &info)
	server.info.Store(&info)
	if listed := r.servers[info.ID]; listed != nil && listed != server && listed.Info().sameRun(&info) {
		// The entry was removed and is back.
		r.apply(now, *listed.Info())
	}
	return !known
}

// Draining reports whether an instance is known to drain, whatever the list says of it.
func (r *Registry) Draining(now time.Time, server *Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	info := server.Info()
	return info.Draining || r.draining.contains(now, info)
}

// Sweep removes the servers whose grace period has ended without a renewed entry, unless the store
// is down again. It should be called a few times a second.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	removed := false
	for id, removeAt := range r.expiring {
		if !now.Before(removeAt) && !r.storeUnavailable {
			r.delete(now, id)
			removed = true
		}
	}
	if removed {
		r.publishSnapshot()
	}
}

// MarkStoreAvailable records that the store responded to a request, which need not have been for
// this list.
func (r *Registry) MarkStoreAvailable(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endStoreOutage(now)
}

// endStoreOutage records that the store responds again, if there was an outage. Servers whose entries
// expired before it could not renew them during it, so that their grace period begins again. r.mu must
// be held.
func (r *Registry) endStoreOutage(now time.Time) {
	if r.storeUnavailable {
		r.storeUnavailable = false
		r.storeRecoveredAt = now
		for id := range r.expiring {
			r.expiring[id] = now.Add(expiryGrace)
		}
	}
}

// applyFromStore applies an entry read from the store. Until restoreGraceEnd it ignores entries that
// are older than the known ones, and those of servers removed with the same or a newer entry. r.mu
// must be held.
func (r *Registry) applyFromStore(now time.Time, info Info) {
	if now.Before(r.restoreGraceEnd) {
		if s := r.servers[info.ID]; s != nil && info.olderThan(s.Info()) || r.tombstones.supersedes(now, &info) {
			return
		}
	}
	r.apply(now, info)
}

// apply sets a server's entry. r.mu must be held. If the server has restarted under the same ID, a
// new Server replaces the old one: its counts, and what was learned about it, no longer apply. An
// instance that was once known to drain stays so, whatever its entry says.
func (r *Registry) apply(now time.Time, info Info) {
	if info.Draining {
		r.draining.add(now, &info)
	}
	s := r.servers[info.ID]
	if s != nil && info.StartUnixMilli != 0 && info.StartUnixMilli < s.Info().StartUnixMilli {
		// A late entry of an earlier instance.
		return
	}
	if s != nil && s.Info().sameInstance(&info) && info.Sequence < s.Info().Sequence {
		// A late entry of this instance. Only its end is news.
		info = *s.Info()
	}
	info.Draining = info.Draining || r.draining.contains(now, &info)
	if s != nil && !s.Info().sameInstance(&info) {
		r.delete(now, info.ID)
		s = nil
	}
	delete(r.expiring, info.ID)
	if s == nil {
		s = &Server{}
		r.servers[info.ID] = s
	}
	s.info.Store(&info)
}

// removeOrDefer removes a server at once, or after expiryGrace if its entry may have expired only
// because it could not be renewed during a store outage. Draining servers are removed at once. r.mu
// must be held.
func (r *Registry) removeOrDefer(now time.Time, id string) {
	s := r.servers[id]
	if s == nil {
		return
	}
	removeAt := r.storeRecoveredAt.Add(expiryGrace)
	if now.Before(removeAt) && !s.Info().Draining {
		if _, ok := r.expiring[id]; !ok {
			r.expiring[id] = removeAt
		}
		return
	}
	r.delete(now, id)
}

// deleteAll removes the servers with the given IDs, ignoring IDs that are not listed. r.mu must be
// held.
func (r *Registry) deleteAll(now time.Time, ids []string) {
	for _, id := range ids {
		if r.servers[id] != nil {
			r.delete(now, id)
		}
	}
}

// delete removes a server, keeps its entry as a tombstone and calls OnRemove. r.mu must be held.
func (r *Registry) delete(now time.Time, id string) {
	delete(r.expiring, id)
	if s := r.servers[id]; s != nil {
		r.tombstones.add(now, s.Info())
	}
	delete(r.servers, id)
	if r.OnRemove != nil {
		r.OnRemove(id)
	}
}

// publishSnapshot rebuilds the snapshot that Servers and All read, and records the software versions
// that are listed. r.mu must be held.
func (r *Registry) publishSnapshot() {
	snapshot := map[string][]*Server{}
	newest := r.newestStartByAddr()
	for _, s := range r.servers {
		if info := s.Info(); s.replaced || info.StartUnixMilli != 0 && info.StartUnixMilli < newest[info.Addr] {
			continue
		}
		service := s.Info().Service
		snapshot[service] = append(snapshot[service], s)
	}
	for _, list := range snapshot {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.Info().ID, b.Info().ID) })
	}
	r.byService.Store(&snapshot)
	r.versions.update(time.Now(), r.servers)
}

// newestStartByAddr returns the latest start time at each address, in Unix milliseconds, over the
// servers that report one and were not replaced. A crashed server restarts at its address under
// another ID while its old entry stays listed until it expires.
func (r *Registry) newestStartByAddr() map[string]int64 {
	newest := make(map[string]int64, len(r.servers))
	for _, s := range r.servers {
		if info := s.Info(); !s.replaced && info.StartUnixMilli > newest[info.Addr] {
			newest[info.Addr] = info.StartUnixMilli
		}
	}
	return newest
}
