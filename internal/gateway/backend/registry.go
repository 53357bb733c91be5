// Package backend keeps which backend servers there are, and what this process
// has running at each. Start reading at Registry.
package backend

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lapseGrace is for how long after the list's store is back a server is still
// trusted whose entry lapsed while the store was away: live ones are back in
// about two seconds, and what is missing then is gone.
const lapseGrace = 2 * time.Second

// Registry follows the list of backend servers. Readers take snapshots without
// a lock. It implements the sink of a follower.
type Registry struct {
	byService atomic.Pointer[map[string][]*Server]
	known     atomic.Bool
	// Gone is told of each server that isn't listed any more; may be nil. It
	// is called with the lock held, so it must not call the Registry.
	Gone func(id string)

	// mu guards what follows; Gone may lock what comes after it in order.
	mu      sync.Mutex
	servers map[string]*Server
	// lapsed holds the servers whose entries went while the store was away,
	// with when they count as gone.
	lapsed map[string]time.Time
	// away says that the store didn't answer last; back is when it last did
	// again after that.
	away bool
	back time.Time
	// settled is until when the list may be an older copy's, after a return of the store.
	settled time.Time
	// tombstones hold the last entries of servers that are gone.
	tombstones tombstones
}

// NewRegistry returns a Registry that knows no server.
func NewRegistry() *Registry {
	r := &Registry{servers: map[string]*Server{}, lapsed: map[string]time.Time{}, tombstones: tombstones{}}
	r.publish()
	return r
}

// Servers returns the servers of a service, ordered by id; not to be changed.
func (r *Registry) Servers(service string) []*Server {
	return (*r.byService.Load())[service]
}

// Known reports whether the list has ever been read.
func (r *Registry) Known() bool { return r.known.Load() }

// Server returns a listed server, or nil.
func (r *Registry) Server(id string) *Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[id]
}

// All returns all listed servers.
func (r *Registry) All() []*Server {
	var all []*Server
	for _, list := range *r.byService.Load() {
		all = append(all, list...)
	}
	return all
}

// Usable counts the listed servers that aren't leaving.
func (r *Registry) Usable() int {
	n := 0
	for _, s := range r.All() {
		if !s.Info().Leaving {
			n++
		}
	}
	return n
}

// Reset takes the whole list. Unreadable entries name no server to use.
func (r *Registry) Reset(now time.Time, all []Info, unreadable []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered(now)
	listed := make(map[string]bool, len(all))
	r.dropAll(now, unreadable)
	for _, info := range all {
		listed[info.ID] = true
		r.putListed(now, info)
	}
	for id := range r.servers {
		if !listed[id] {
			r.remove(now, id)
		}
	}
	r.publish()
	r.known.Store(true)
}

// Adopt takes the list from elsewhere as long as the store hasn't told any; it
// reports whether it did.
func (r *Registry) Adopt(all []Info) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known.Load() {
		return false
	}
	for _, info := range all {
		r.put(time.Now(), info)
	}
	r.publish()
	r.known.Store(true)
	return true
}

// Change takes what has changed in the list. Entries that have become unreadable
// name no server to use.
func (r *Registry) Change(now time.Time, changed []Info, removed, unreadable []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered(now)
	r.dropAll(now, unreadable)
	for _, info := range changed {
		r.putListed(now, info)
	}
	for _, id := range removed {
		r.remove(now, id)
	}
	if len(changed)+len(removed)+len(unreadable) > 0 {
		r.publish()
	}
}

// Unavailable notes that the list's store doesn't answer, whatever it was asked
// for.
func (r *Registry) Unavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// Restored notes that the list's store was restored from an older copy: until servers have
// written their entries again, an entry older than one that was read is no news, and one
// that lacks has not lapsed.
func (r *Registry) Restored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.back = now
	r.settled = now.Add(lapseGrace)
}

// Replaced notes that another start answers at a server's address: the server is
// gone for good, whatever the list says of it for some time to come. It reports
// whether that is news.
func (r *Registry) Replaced(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil || s.replaced {
		return false
	}
	s.replaced = true
	r.publish()
	return true
}

// Sweep removes what has lapsed and isn't back. It is to be called a few times
// a second.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	removed := false
	for id, gone := range r.lapsed {
		if !now.Before(gone) && !r.away {
			r.drop(now, id)
			removed = true
		}
	}
	if removed {
		r.publish()
	}
}

// Available notes that the list's store answers, whatever it was asked for.
func (r *Registry) Available(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered(now)
}

func (r *Registry) answered(now time.Time) {
	if r.away {
		r.away = false
		r.back = now
	}
}

// putListed takes an entry of the store's list; r.mu is held.
func (r *Registry) putListed(now time.Time, info Info) {
	if now.Before(r.settled) {
		if s := r.servers[info.ID]; s != nil && info.olderThan(s.Info()) || r.tombstones.has(now, &info) {
			return
		}
	}
	r.put(now, info)
}

// put takes an entry; r.mu is held. A server that has started again under its id
// holds and knows nothing of before: what was counted and learned goes.
func (r *Registry) put(now time.Time, info Info) {
	s := r.servers[info.ID]
	if s != nil && info.Born != 0 && info.Born < s.Info().Born {
		// Old news of the start before.
		return
	}
	if s != nil && !s.Info().sameStart(&info) {
		r.drop(now, info.ID)
		s = nil
	}
	delete(r.lapsed, info.ID)
	if s == nil {
		s = &Server{}
		r.servers[info.ID] = s
	}
	s.info.Store(&info)
}

// remove takes a server out, at once unless its entry may have lapsed since it
// could not be renewed.
func (r *Registry) remove(now time.Time, id string) {
	s := r.servers[id]
	if s == nil {
		return
	}
	gone := r.back.Add(lapseGrace)
	if now.Before(gone) && !s.Info().Leaving {
		if _, ok := r.lapsed[id]; !ok {
			r.lapsed[id] = gone
		}
		return
	}
	r.drop(now, id)
}

// dropAll forgets servers; r.mu is held.
func (r *Registry) dropAll(now time.Time, ids []string) {
	for _, id := range ids {
		if r.servers[id] != nil {
			r.drop(now, id)
		}
	}
}

// drop forgets a server; r.mu is held.
func (r *Registry) drop(now time.Time, id string) {
	delete(r.lapsed, id)
	if s := r.servers[id]; s != nil {
		r.tombstones.add(now, s.Info())
	}
	delete(r.servers, id)
	if r.Gone != nil {
		r.Gone(id)
	}
}

// publish makes the snapshot that readers take.
func (r *Registry) publish() {
	snapshot := map[string][]*Server{}
	newest := r.newestStarts()
	for _, s := range r.servers {
		if info := s.Info(); s.replaced || info.Born != 0 && info.Born < newest[info.Addr] {
			continue
		}
		service := s.Info().Service
		snapshot[service] = append(snapshot[service], s)
	}
	for _, list := range snapshot {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.Info().ID, b.Info().ID) })
	}
	r.byService.Store(&snapshot)
}

// newestStarts is when the newest start at each address began, of those that say
// so and weren't replaced. A server that crashed starts again at its address under
// another id, while its entry of before is listed until it lapses.
func (r *Registry) newestStarts() map[string]int64 {
	newest := make(map[string]int64, len(r.servers))
	for _, s := range r.servers {
		if info := s.Info(); !s.replaced && info.Born > newest[info.Addr] {
			newest[info.Addr] = info.Born
		}
	}
	return newest
}
