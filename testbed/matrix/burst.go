package matrix

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/testbed/history"
)

// SubjectBurst is a burst of calls of one lower-tier class that exceeds the
// engines' capacity.
const SubjectBurst Subject = "burst"

// Steps of a burst. In both, tickets wait at every agent when the fault is injected.
const (
	// StepBurst is a burst of about a second.
	StepBurst Step = "short"
	// StepSaturation is a burst that lasts longer than a class may go unserved.
	StepSaturation Step = "saturation"
)

// NoFault marks a cell without a fault.
const NoFault FaultKind = "none"

// BurstFaults lists the faults that are injected during a burst.
var BurstFaults = []FaultKind{NoFault, KillEngine, PauseAgent, PlatformDown, KillEntry}

const (
	classBurst = "burst"
	// burstFirstToken is short enough that admission refuses most of a burst.
	burstFirstToken = 2 * time.Second
	burstTokens     = 60
	// burstRateFactor is the burst's rate as a multiple of the engines' capacity.
	burstRateFactor    = 3
	shortBurstDuration = 1200 * time.Millisecond
	longBurstDuration  = 12 * time.Second
	topTierCallers     = 4
	lowestTierCallers  = 4
	lowestTierTokens   = 80
	engineSlowdown     = 4 // slowdown of a full batch, the same as the stand-in engine's
)

// burstClass returns the class that bursts, of a tier between the top and the
// lowest.
func burstClass() targets.Class {
	return targets.Class{Name: classBurst, Tier: 2, Model: model, FirstToken: burstFirstToken, Repeatable: true}
}

// maxBurstCallDuration returns how long an admitted call may take: policy's bound on the
// wait for a grant, the call's own run, and the delay caused by a fault.
func maxBurstCallDuration(c Cell) time.Duration {
	longestRun := lowestTierTokens * tokenInterval * engineSlowdown
	bound := policy.WaitBound(engineCapacity, len(classes()), longestRun) + longestRun
	if c.Faults[0] != NoFault {
		bound += faultDuration + faultAftermath
	}
	return bound
}

// runBurstCell sends a burst of one class together with calls of the top and the
// lowest tier, and injects the fault while tickets wait at every agent.
func (h *harness) runBurstCell(ctx context.Context, c Cell) error {
	stopping := make(chan struct{})
	maxDuration := maxBurstCallDuration(c)
	for n := range topTierCallers {
		request := callerRequest{class: classFlag, tokens: hazardFlagTokens, customer: customerLarge, maxDuration: maxDuration}
		h.calls.Go(func() { h.repeatWithRetry(ctx, stopping, request, n) })
	}
	h.calls.Go(func() {
		h.sendBurst(ctx, c, maxDuration)
		close(stopping)
	})
	err := h.injectDuringBurst(ctx, c, maxDuration)
	h.calls.Wait()
	return err
}

// injectDuringBurst waits until tickets wait at every agent, adds calls of the lowest
// tier, and injects and clears the cell's fault.
func (h *harness) injectDuringBurst(ctx context.Context, c Cell, maxDuration time.Duration) error {
	waitCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if !pollUntil(waitCtx, h.allAgentsWaiting) {
		return errors.New("not every agent has waiting tickets")
	}
	for n := range lowestTierCallers {
		request := callerRequest{class: classSummary, marker: h.newMarker(classSummary), tokens: lowestTierTokens, customer: customerSmall, maxDuration: maxDuration}
		h.calls.Go(func() { h.callWithRetry(ctx, request, n) })
	}
	if c.Faults[0] == NoFault {
		pause.Sleep(ctx, faultDuration)
		return nil
	}
	f, err := inject(ctx, c.Faults[0], location{harness: h, entry: h.pickEntry(int(c.Seed)), agent: h.rng.IntN(engineCount)})
	if err != nil {
		return err
	}
	pause.Sleep(ctx, faultDuration)
	return f.clear(ctx)
}

// sendBurst sends calls at a constant rate above the engines' capacity, without
// waiting for earlier calls.
func (h *harness) sendBurst(ctx context.Context, c Cell, maxDuration time.Duration) {
	duration := shortBurstDuration
	if c.Step == StepSaturation {
		duration = longBurstDuration
	}
	interval := burstTokens * tokenInterval / (engineCount * engineCapacity * burstRateFactor)
	onSchedule(ctx, int(duration/interval), interval, func(n int) {
		customer := customerLarge
		if n%2 == 0 {
			customer = customerSmall
		}
		request := callerRequest{class: classBurst, marker: h.newMarker(classBurst), tokens: burstTokens, customer: customer, maxDuration: maxDuration}
		h.calls.Go(func() { h.callWithRetry(ctx, request, n) })
	})
}

// onSchedule calls do for 0 to count-1, one interval apart. After a late call, the calls that
// are already due follow at once: sleeps take longer on a busy machine, and a fixed sleep
// between calls would lower the rate.
func onSchedule(ctx context.Context, count int, interval time.Duration, do func(n int)) {
	start := time.Now()
	for n := range count {
		if !pause.Sleep(ctx, time.Until(start.Add(time.Duration(n)*interval))) {
			return
		}
		do(n)
	}
}

// repeatWithRetry makes one call after the other, each with retries, until
// stopping is closed.
func (h *harness) repeatWithRetry(ctx context.Context, stopping <-chan struct{}, request callerRequest, n int) {
	for h.waitPollInterval(ctx, stopping) {
		request.marker = h.newMarker(request.class)
		h.callWithRetry(ctx, request, n)
		n++
	}
}

// callWithRetry retries a call, through the entries in turn, until it is served.
// A refused call is sent again after its Retry-After. The retries have no limit
// other than the cell's timeout, because a Retry-After can be longer than the work
// of the complete burst takes.
func (h *harness) callWithRetry(ctx context.Context, request callerRequest, n int) {
	for ctx.Err() == nil {
		call := h.call(ctx, request, h.pickEntry(n))
		if call.Outcome == history.OutcomeComplete {
			return
		}
		n++
		pause.Sleep(ctx, max(call.RetryAfter, pollInterval))
	}
}
