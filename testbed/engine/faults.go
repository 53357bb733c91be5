package engine

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/pause"
)

// faultDisabled is the token count of a fault that is not injected.
const noFault = -1

// streamFaults are the faults that are injected into one stream.
type streamFaults struct {
	// stallAfter and cutAfter are token counts from the start of the
	// complete response, also when the stream resumes later.
	stallAt int
	cutAt   int
}

// apply injects the faults into a stream that has reached the given number of
// tokens out of total. A stall lasts until ctx ends and returns its error; a cut
// returns errStreamCut.
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

// nextStreamFaults returns the faults of the next stream and decrements the
// number of streams that are still to stall or to be cut.
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

// countTokenToCrash counts one token and crashes the engine when
// CrashAfterTokens reaches zero.
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

// scaleDelay multiplies a duration by the slowdown and, beyond the capacity, by
// the ratio of streams to capacity.
func (s *Server) pace(base time.Duration) time.Duration {
	k := s.knobs.Get()
	running, _ := s.slots.counts()
	crowding := float64(running+k.Foreign) / float64(s.config.Capacity)
	return time.Duration(float64(base) * k.slowFactor() * max(1, crowding))
}

// sleep waits for a duration and then for as long as the engine is frozen.
func (s *Server) sleep(ctx context.Context, d time.Duration) error {
	if !pause.For(ctx, d) {
		return ctx.Err()
	}
	return s.awaitThaw(ctx)
}

// waitWhileFrozen blocks until the engine is not frozen or ctx ends.
func (s *Server) awaitThaw(ctx context.Context) error {
	for s.knobs.Get().Frozen {
		if !pause.For(ctx, thawCheck) {
			return ctx.Err()
		}
	}
	return nil
}
