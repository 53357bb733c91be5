package engine

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/pause"
)

// faultDisabled is the token count of a fault that is not injected.
const faultDisabled = -1

// streamFaults are the faults that are injected into one stream.
type streamFaults struct {
	// stallAfter and cutAfter are token counts from the start of the complete
	// response, even if the stream resumes at a later token.
	stallAfter int
	cutAfter   int
}

// apply injects the faults into a stream that has reached the given number of
// tokens out of total. A stall lasts until ctx ends and returns its error; a cut
// returns errStreamCut.
func (f streamFaults) apply(ctx context.Context, tokens, total int) error {
	if f.stallAfter != faultDisabled && tokens >= min(f.stallAfter, total) {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.cutAfter != faultDisabled && tokens >= min(f.cutAfter, total) {
		return errStreamCut
	}
	return nil
}

// nextStreamFaults returns the faults of the next stream and decrements the
// number of streams that are still to stall or to be cut.
func (s *Server) nextStreamFaults() streamFaults {
	faults := streamFaults{stallAfter: faultDisabled, cutAfter: faultDisabled}
	s.knobs.Update(func(k *Knobs) {
		if k.StallStreams > 0 {
			k.StallStreams--
			faults.stallAfter = k.StallAfter
		}
		if k.CutStreams > 0 {
			k.CutStreams--
			faults.cutAfter = k.CutAfter
		}
	})
	return faults
}

// countDownToCrash decrements CrashAfterTokens for one token that was written and
// crashes the engine when it reaches zero.
func (s *Server) countDownToCrash() {
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
func (s *Server) scaleDelay(delay time.Duration) time.Duration {
	k := s.knobs.Get()
	running, _ := s.slots.counts()
	streamsPerSlot := float64(running+k.ExternalStreams) / float64(s.config.Capacity)
	return time.Duration(float64(delay) * k.delayFactor() * max(1, streamsPerSlot))
}

// sleep waits for a duration and then until the engine is not frozen. It returns
// the error of ctx if ctx ends first.
func (s *Server) sleep(ctx context.Context, d time.Duration) error {
	if !pause.Sleep(ctx, d) {
		return ctx.Err()
	}
	return s.waitWhileFrozen(ctx)
}

// waitWhileFrozen waits until the engine is not frozen. It returns the error of
// ctx if ctx ends first.
func (s *Server) waitWhileFrozen(ctx context.Context) error {
	for s.knobs.Get().Frozen {
		if !pause.Sleep(ctx, frozenPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}
