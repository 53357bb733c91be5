package storage

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// readVMs is the last VM list read and the ETag it came with. The list has
// some 165 KB at 1,610 VMs and changes a few times an hour, while every process
// reads it every few seconds: without the condition these reads would be most
// of what the control costs.
type readVMs struct {
	mu   sync.Mutex
	etag string
	vms  []VM
}

func (r *readVMs) tag() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.etag
}

// keep notes a list; without an ETag the next read is of the whole list.
func (r *readVMs) keep(etag string, vms []VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.etag = etag
	r.vms = vms
}

// copyOf returns the list that came with etag; false when another read has
// replaced it meanwhile.
func (r *readVMs) copyOf(etag string) ([]VM, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if etag == "" || r.etag != etag {
		return nil, false
	}
	return slices.Clone(r.vms), true
}

// VMs implements VMList. It reads the list only when it has changed since the
// last read (RFC 9110, 13.1.2); a platform that sends no ETag is read whole.
func (h *HTTP) VMs(ctx context.Context) ([]VM, error) {
	etag := h.lastVMs.tag()
	answer, err := h.readIf(ctx, pathVMs, etag)
	if err != nil {
		return nil, err
	}
	if answer.status == http.StatusNotModified {
		vms, ok := h.lastVMs.copyOf(etag)
		if !ok {
			return nil, errors.Wrap(ErrUnavailable, "not modified, but the list is not at hand")
		}
		return vms, nil
	}
	var vms []VM
	if err := json.Unmarshal(answer.body, &vms); err != nil {
		return nil, errors.Wrap(ErrUnavailable, "answer is not JSON")
	}
	h.lastVMs.keep(answer.etag, slices.Clone(vms))
	return vms, nil
}
