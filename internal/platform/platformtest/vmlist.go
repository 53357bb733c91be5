package platformtest

import (
	"context"
	"slices"
	"sync"

	"github.com/applepier/applepier/internal/platform"
)

// VMList is a platform.VMList that answers what it was last told.
type VMList struct {
	mu   sync.Mutex
	vms  []platform.VM
	down bool
}

var _ platform.VMList = (*VMList)(nil)

// NewVMList returns a list of the given VMs.
func NewVMList(vms ...platform.VM) *VMList {
	return &VMList{vms: vms}
}

// Set replaces the list; until then the list lags.
func (l *VMList) Set(vms ...platform.VM) {
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

// VMs implements platform.VMList.
func (l *VMList) VMs(ctx context.Context) ([]platform.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || ctx.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	return slices.Clone(l.vms), nil
}
