package backend

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// versionRetention is how long a software version is remembered after its last server was removed.
// It bounds the window of Registry.VersionsWithin.
const versionRetention = time.Hour

// Versions tells which software versions a service has had within a window.
type Versions struct {
	// Only is the key of the only version; 0 if there were several or it isn't known.
	Only policy.Key
	// Several is set if the service has had several versions, or servers of unknown version.
	Several bool
}

// versionHistory records which software versions the servers of each service have had. It isn't safe
// for concurrent use. Keys are those of Info.VersionKey and of the service's name.
type versionHistory struct {
	// since is when the list was first known, or known again after changes were missed; zero before.
	since time.Time
	// listed holds the versions of the listed servers, removedAt when the last server of a version
	// was removed.
	listed    map[policy.Key]map[policy.Key]bool
	removedAt map[policy.Key]map[policy.Key]time.Time
}

func newVersionHistory() *versionHistory {
	return &versionHistory{listed: map[policy.Key]map[policy.Key]bool{}, removedAt: map[policy.Key]map[policy.Key]time.Time{}}
}

// update records the servers that are listed now.
func (h *versionHistory) update(now time.Time, servers map[string]*Server) {
	listed := map[policy.Key]map[policy.Key]bool{}
	for _, s := range servers {
		info := s.Info()
		service := policy.KeyOf(info.Service)
		if listed[service] == nil {
			listed[service] = map[policy.Key]bool{}
		}
		listed[service][info.VersionKey()] = true
	}
	for service, versions := range h.listed {
		for version := range versions {
			if !listed[service][version] {
				h.markRemoved(now, service, version)
			}
		}
	}
	h.listed = listed
}

// markRemoved records that the last server of a version was removed, and forgets versions that were
// removed more than versionRetention ago.
func (h *versionHistory) markRemoved(now time.Time, service, version policy.Key) {
	removed := h.removedAt[service]
	if removed == nil {
		removed = map[policy.Key]time.Time{}
		h.removedAt[service] = removed
	}
	removed[version] = now
	for v, at := range removed {
		if now.Sub(at) > versionRetention {
			delete(removed, v)
		}
	}
}

// within returns the versions that a service has had since now less window. It doesn't know them if the
// list hasn't been known for so long.
func (h *versionHistory) within(now time.Time, service policy.Key, window time.Duration) Versions {
	var only policy.Key
	for version := range h.listed[service] {
		only = version
	}
	several := len(h.listed[service]) > 1
	for version, at := range h.removedAt[service] {
		if now.Sub(at) <= window && version != only {
			several = true
		}
	}
	switch {
	case several, len(h.listed[service]) == 1 && only == 0:
		return Versions{Several: true}
	case h.since.IsZero() || now.Sub(h.since) < window:
		return Versions{}
	default:
		return Versions{Only: only}
	}
}
