package platform

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/applepier/applepier/internal/storage"
)

// vmList keeps who is there, with its history, since readers see it late.
type vmList struct {
	mu sync.Mutex
	// now holds the list as it is; history what was there from when on.
	now     map[string]storage.VM
	history []vmChange
}

// vmChange is the whole list from a moment on.
type vmChange struct {
	at time.Time
	// number is that of the change in the history; the first is 1.
	number int
	vms    []storage.VM
}

// etag names the list's state. It starts with the moment of the change, so
// that a stand-in that was started anew gives no tag a second time.
func (c vmChange) etag() string {
	return fmt.Sprintf(`"%x-%d"`, c.at.UnixNano(), c.number)
}

// put adds or replaces a VM.
func (l *vmList) put(vm storage.VM, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now[vm.Name] = vm
	l.note(at)
}

// remove takes a VM off the list.
func (l *vmList) remove(name string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.now, name)
	l.note(at)
}

// markLeaving marks a VM as leaving and reports whether it is there.
func (l *vmList) markLeaving(name string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	vm, ok := l.now[name]
	if !ok {
		return false
	}
	vm.Leaving = true
	l.now[name] = vm
	l.note(at)
	return true
}

// asOf returns the list as it was at a moment.
func (l *vmList) asOf(at time.Time) vmChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, change := range slices.Backward(l.history) {
		if !change.at.After(at) {
			return change
		}
	}
	return vmChange{vms: []storage.VM{}}
}

func (l *vmList) note(at time.Time) {
	vms := slices.SortedFunc(maps.Values(l.now), func(a, b storage.VM) int {
		return strings.Compare(a.Name, b.Name)
	})
	l.history = append(l.history, vmChange{at: at, number: len(l.history) + 1, vms: vms})
}
