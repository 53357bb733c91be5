package storage

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// vmListCache holds the last VM list that was read, with its ETag. The list
// takes about 165 KB for 1,610 VMs and changes a few times per hour, but every
// process reads it every few seconds. Without conditional requests these reads
// would be most of the control traffic.
type vmListCache struct {
	mu   sync.Mutex
	etag string
	vms  []VM
}

func (c *vmListCache) currentETag() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag
}

// store replaces the cached list. If etag is empty, the next read is
// unconditional.
func (c *vmListCache) store(etag string, vms []VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag = etag
	c.vms = vms
}

// load returns a copy of the list that has the given ETag. It returns false if
// a concurrent read has replaced that list.
func (c *vmListCache) load(etag string) ([]VM, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if etag == "" || c.etag != etag {
		return nil, false
	}
	return slices.Clone(c.vms), true
}

// VMs implements VMList. It sends the last ETag in If-None-Match (RFC 9110,
// section 13.1.2) and returns the cached list if the platform responds with 304.
// If the platform sends no ETag, it reads the whole list each time.
func (c *HTTPClient) VMs(ctx context.Context) ([]VM, error) {
	etag := c.vmCache.currentETag()
	resp, err := c.readIfChanged(ctx, pathVMs, etag)
	if err != nil {
		return nil, err
	}
	if resp.status == http.StatusNotModified {
		vms, ok := c.vmCache.load(etag)
		if !ok {
			return nil, errors.Wrap(ErrUnavailable, "response is 304 Not Modified, but the cached list was replaced")
		}
		return vms, nil
	}
	var vms []VM
	if err := json.Unmarshal(resp.body, &vms); err != nil {
		return nil, errors.Wrap(ErrUnavailable, "response is not JSON")
	}
	c.vmCache.store(resp.etag, slices.Clone(vms))
	return vms, nil
}
