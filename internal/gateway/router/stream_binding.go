package router

import (
	"context"
	"strconv"

	"github.com/applepier/applepier/internal/gateway/origin"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

// streamBinding restricts a stream of which the caller has events to servers of the software version
// that began it. Servers don't check that themselves.
type streamBinding struct {
	// bound is set once the caller has events.
	bound  bool
	origin origin.Origin
	source origin.Source
	// recorded is set once the origin has been passed to Origins.
	recorded bool
}

// pickService picks the service from the route's shares. If the request resumes a stream, it binds it
// to its origin; if that isn't possible, it refuses the request and reports false.
func (c *call) pickService(ctx context.Context) bool {
	if c.route.Kind != routes.KindStream || c.params.LastEventID == "" {
		c.service = c.route.PickService(serviceHash(c.params.ID))
		return true
	}
	c.service = c.route.PickService(serviceHash(c.params.ResumesID))
	stream := origin.StreamOf(c.customer, c.params.ResumesID)
	c.binding.bound = true
	c.binding.origin, c.binding.source = c.router.Origins.Find(ctx, stream, c.onlyService())
	switch {
	case c.endIfDisconnected():
		return false
	case c.binding.source == origin.SourceUnknown:
		c.refuse(ReasonOriginUnknown, refusedRetryAfter)
		return false
	case !c.useService(c.binding.origin.Service):
		c.refuse(ReasonOriginUnavailable, refusedRetryAfter)
		return false
	}
	return true
}

// onlyService returns the key of the service to which the route leads; 0 if it leads to several, of which
// any may have begun a stream of unknown origin.
func (c *call) onlyService() policy.Key {
	if len(c.route.Shares) > 1 {
		return 0
	}
	return policy.KeyOf(c.service)
}

// useService sets the service by its key. It reports false if the route doesn't lead to it any more.
func (c *call) useService(key policy.Key) bool {
	for _, share := range c.route.Shares {
		if policy.KeyOf(share.Service) == key {
			c.service = share.Service
			return true
		}
	}
	return false
}

// recordOrigin binds the stream to the software version of the server whose events are about to be
// forwarded, unless it is bound already, and records its origin so that it can be resumed. The record
// of a resumed stream is repeated because some of its holders may have stopped.
func (c *call) recordOrigin() {
	if c.binding.recorded {
		return
	}
	c.binding.recorded = true
	if !c.binding.bound {
		c.binding.bound, c.binding.source = true, origin.SourceOwn
		c.binding.origin = origin.Origin{Service: policy.KeyOf(c.service), Version: c.serverVersionKey}
	}
	stream := origin.StreamOf(c.customer, c.streamID())
	if c.route.Resumable && stream != origin.Unnamed && c.binding.origin.Version != 0 {
		c.router.Origins.Begin(stream, c.binding.origin)
	}
}

// originVersion returns the software version that the stream is bound to, empty if there is none. If no
// server in the list has it, it is given by its key.
func (c *call) originVersion() string {
	key := c.binding.origin.Version
	if key == 0 {
		return ""
	}
	for _, s := range c.router.Registry.Servers(c.service) {
		if info := s.Info(); info.VersionKey() == key {
			return info.SoftwareVersion
		}
	}
	return "#" + strconv.FormatUint(uint64(key), 16)
}

// streamID returns the ID of the request that began the stream; empty if the caller resumes a stream
// without naming it.
func (c *call) streamID() string {
	if c.params.LastEventID != "" {
		return c.params.ResumesID
	}
	return c.params.ID
}
