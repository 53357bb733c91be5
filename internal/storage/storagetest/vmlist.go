package storagetest

import (
	"context"
	"slices"
	"sync"

	"github.com/applepier/applepier/internal/storage"
)

// VMList is an in-memory storage.VMList that returns the VMs passed to the last
// call of Set.
type VMList struct {
	mu          sync.Mutex
	vms         []storage.VM
	unavailable bool
}

var _ storage.VMList = (*VMList)(nil)

// NewVMList returns a VMList with the given VMs.
func NewVMList(vms ...storage.VM) *VMList {
	return &VMList{vms: vms}
}

// Set replaces the list. Tests simulate a stale list by calling it late.
func (l *VMList) Set(vms ...storage.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = vms
}

// SetUnavailable sets whether all calls fail with storage.ErrUnavailable.
func (l *VMList) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// VMs implements storage.VMList.
func (l *VMList) VMs(ctx context.Context) ([]storage.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable || ctx.Err() != nil {
		return nil, storage.ErrUnavailable
	}
	return slices.Clone(l.vms), nil
}
