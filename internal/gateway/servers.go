package gateway

import (
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
)

// servers takes the list of backend servers from its follower.
type servers struct{ registry *backend.Registry }

var _ follow.Sink[backend.Info] = servers{}

// Reset implements follow.Sink.
func (s servers) Reset(_ time.Duration, all follow.Batch[backend.Info]) {
	s.registry.Reset(time.Now(), all.Items, all.Unreadable)
}

// Change implements follow.Sink.
func (s servers) Change(_ time.Duration, changes follow.Batch[backend.Info]) {
	s.registry.Change(time.Now(), changes.Items, changes.Removed)
}

// Unavailable implements follow.Sink.
func (s servers) Unavailable(error) { s.registry.Unavailable() }
