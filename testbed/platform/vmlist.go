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

// vmList holds the VM list and its history, from which delayed reads are served.
type vmList struct {
	mu sync.Mutex
	// current holds the current list by VM name; history holds every version in order.
	current map[string]storage.VM
	history []vmListVersion
}

// vmListVersion is one version of the complete list, valid from since on.
type vmListVersion struct {
	since time.Time
	// number is the version's position in the history, starting at 1.
	number int
	vms    []storage.VM
}

// etag returns the version's ETag. It includes the time of the change, so that
// a restarted stand-in doesn't reuse a tag.
func (v vmListVersion) etag() string {
	return fmt.Sprintf(`"%x-%d"`, v.since.UnixNano(), v.number)
}

// put adds a VM or replaces the one of the same name.
func (l *vmList) put(vm storage.VM, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[vm.Name] = vm
	l.appendVersion(at)
}

// remove removes a VM from the list.
func (l *vmList) remove(name string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, name)
	l.appendVersion(at)
}

// markDraining marks a VM as draining and reports whether it is listed.
func (l *vmList) markDraining(name string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	vm, ok := l.current[name]
	if !ok {
		return false
	}
	vm.Draining = true
	l.current[name] = vm
	l.appendVersion(at)
	return true
}

// asOf returns the version of the list at a point in time.
func (l *vmList) asOf(at time.Time) vmListVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, version := range slices.Backward(l.history) {
		if !version.since.After(at) {
			return version
		}
	}
	return vmListVersion{vms: []storage.VM{}}
}

func (l *vmList) appendVersion(at time.Time) {
	vms := slices.SortedFunc(maps.Values(l.current), func(a, b storage.VM) int {
		return strings.Compare(a.Name, b.Name)
	})
	l.history = append(l.history, vmListVersion{since: at, number: len(l.history) + 1, vms: vms})
}
