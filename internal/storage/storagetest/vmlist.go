package storagetest

import (
	"context"
	"slices"
	"sync"

	"github.com/applepier/applepier/internal/storage"
)

// VMList is a storage.VMList that answers what it was last told.
type VMList struct {
	mu   sync.Mutex
	vms  []storage.VM
	down bool
}

var _ storage.VMList = (*VMList)(nil)

// NewVMList returns a list of the given VMs.
func NewVMList(vms ...storage.VM) *VMList {
	return &VMList{vms: vms}
}

// Set replaces the list; until then the list lags.
func (l *VMList) Set(vms ...storage.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = vms
}

// SetDown makes all calls fail with ErrUnavailable, or ends that.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// VMs implements storage.VMList.
func (l *VMList) VMs(ctx context.Context) ([]storage.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || ctx.Err() != nil {
		return nil, storage.ErrUnavailable
	}
	return slices.Clone(l.vms), nil
}
