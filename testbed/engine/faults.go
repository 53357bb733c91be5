package engine

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/pause"
)

// noFault is the token count of a fault that never comes.
const noFault = -1

// streamFaults are the faults that one stream has drawn.
type streamFaults struct {
	// stallAt and cutAt count tokens of the whole answer.
	stallAt int
	cutAt   int
}

// apply stalls or cuts a stream that has reached a number of tokens out of
// total.
func (f streamFaults) apply(ctx context.Context, tokens, total int) error {
	if f.stallAt != noFault && tokens >= min(f.stallAt, total) {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.cutAt != noFault && tokens >= min(f.cutAt, total) {
		return errCut
	}
	return nil
}

// takeFaults draws the faults of the next stream.
func (s *Server) takeFaults() streamFaults {
	faults := streamFaults{stallAt: noFault, cutAt: noFault}
	s.knobs.Update(func(k *Knobs) {
		if k.StallStreams > 0 {
			k.StallStreams--
			faults.stallAt = k.StallAfter
		}
		if k.CutStreams > 0 {
			k.CutStreams--
			faults.cutAt = k.CutAfter
		}
	})
	return faults
}

// countToken counts towards a crash.
func (s *Server) countToken() {
	crash := false
	s.knobs.Update(func(k *Knobs) {
		if k.CrashAfterTokens == 0 {
			return
		}
		k.CrashAfterTokens--
		if k.CrashAfterTokens == 0 {
			k.Crashed = true
			crash = true
		}
	})
	if crash {
		s.crash()
	}
}

// pace stretches a time by the load and the slow knob.
func (s *Server) pace(base time.Duration) time.Duration {
	k := s.knobs.Get()
	running, _ := s.slots.counts()
	crowding := float64(running+k.Foreign) / float64(s.config.Capacity)
	return time.Duration(float64(base) * k.slowFactor() * max(1, crowding))
}

// sleep waits for a time, and on while the engine is frozen.
func (s *Server) sleep(ctx context.Context, d time.Duration) error {
	if !pause.For(ctx, d) {
		return ctx.Err()
	}
	return s.awaitThaw(ctx)
}

// awaitThaw waits while the engine is frozen.
func (s *Server) awaitThaw(ctx context.Context) error {
	for s.knobs.Get().Frozen {
		if !pause.For(ctx, thawCheck) {
			return ctx.Err()
		}
	}
	return nil
}
