package origin

import (
	"sync"

	"github.com/applepier/applepier/internal/gateway/backend"
)

// lookup collects the responses to the query for one stream.
type lookup struct {
	// done is closed when the record was found or all gateways have responded.
	done chan struct{}
	// mu guards the fields below. It comes after the Directory's lock in the lock order.
	mu sync.Mutex
	// waiting holds the addresses of the gateways that have not responded.
	waiting map[string]bool
	// found is the record; nil if no gateway has sent it. versions is what this gateway and those that
	// responded know of the service's versions.
	found    *Origin
	versions backend.Versions
	// responses is the number of gateways that have responded.
	responses int
	finished  bool
}

func newLookup(addrs []string, versions backend.Versions) *lookup {
	l := &lookup{done: make(chan struct{}), waiting: map[string]bool{}, versions: versions}
	for _, addr := range addrs {
		l.waiting[addr] = true
	}
	l.finishIfComplete()
	return l
}

// unanswered returns the addresses of the gateways that have not responded.
func (l *lookup) unanswered() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	addrs := make([]string, 0, len(l.waiting))
	for addr := range l.waiting {
		addrs = append(addrs, addr)
	}
	return addrs
}

// recordResponse records the response of the gateway at addr. It ignores gateways that weren't asked.
func (l *lookup) recordResponse(addr string, m *message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.waiting[addr] || l.finished {
		return
	}
	delete(l.waiting, addr)
	l.responses++
	switch {
	case m.Kind == kindFound:
		origin := m.origin()
		l.found = &origin
	case m.Kind == kindSeveralVersions, m.Version != 0 && l.versions.Only != 0 && l.versions.Only != m.origin().Version:
		l.versions.Several = true
	case m.Version != 0:
		l.versions.Only = m.origin().Version
	}
	l.finishIfComplete()
}

// finishIfComplete closes done if there is nothing left to wait for. l.mu must be held, except in
// newLookup.
func (l *lookup) finishIfComplete() {
	if l.found != nil || len(l.waiting) == 0 {
		l.finished = true
		close(l.done)
	}
}

// allLackRecord reports whether there are gateways that were asked, and all of them responded that they
// don't have the record.
func (l *lookup) allLackRecord() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.found == nil && len(l.waiting) == 0 && l.responses > 0
}

// result returns the record, nil if it wasn't found; what is known of the service's versions; and how
// many gateways have responded.
func (l *lookup) result() (found *Origin, versions backend.Versions, responses int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.found, l.versions, l.responses
}
