package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/logging"
)

// serverListSink applies the list of backend servers from its follower to the registry.
type serverListSink struct {
	registry *backend.Registry
	log      *zap.Logger
	// confirmedAt returns as of which time the list was last known to be complete, on the boottime clock, and
	// maxGap for how long changes may have been missed before a version could have joined and left.
	confirmedAt, maxGap func() time.Duration
	// era is the store's era (see follow.Position) at the last full read; 0 until the list has been
	// read.
	era atomic.Uint64
}

var _ follow.Sink[backend.Info] = (*serverListSink)(nil)

// Reset implements follow.Sink.
func (s *serverListSink) Reset(asOf time.Duration, all follow.Batch[backend.Info]) {
	if s.registry.Loaded() && asOf-s.confirmedAt() > s.maxGap() {
		s.registry.MarkChangesMissed(time.Now())
	}
	if era := all.Position.Era(); era > s.era.Load() {
		s.era.Store(era)
		s.registry.MarkStoreRestored(time.Now())
	}
	s.registry.ReplaceAll(time.Now(), all.Items, all.Unreadable)
	s.log.Info(logging.EventServersListed, zap.Int("servers", len(all.Items)), zap.Int("usable", s.registry.CountUsable()))
}

// Change implements follow.Sink.
func (s *serverListSink) Change(_ time.Duration, changes follow.Batch[backend.Info]) {
	s.registry.ApplyChanges(time.Now(), changes.Items, changes.Removed, changes.Unreadable)
	for _, info := range changes.Items {
		s.log.Info(logging.EventServerChanged, logging.Peer(info.ID), zap.String("service", info.Service), zap.String("software", info.SoftwareVersion), zap.Bool("leaving", info.Draining), zap.Int("usable", s.registry.CountUsable()))
	}
	for _, id := range changes.Removed {
		s.log.Info(logging.EventServerRemoved, logging.Peer(id), zap.Int("usable", s.registry.CountUsable()))
	}
}

// Available implements follow.Sink.
func (s *serverListSink) Available() { s.registry.MarkStoreAvailable(time.Now()) }

// Unavailable implements follow.Sink.
func (s *serverListSink) Unavailable(error) { s.registry.MarkStoreUnavailable() }
