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

// SubjectBurst is a burst of one lower class above the engines' capacity.
const SubjectBurst Subject = "burst"

// Steps of a burst, both with tickets waiting at every agent.
const (
	// StepBurst is a burst of a few seconds.
	StepBurst Step = "short"
	// StepSaturation lasts longer than a class may starve.
	StepSaturation Step = "saturation"
)

// NoFault stands for a cell in which nothing fails.
const NoFault Kind = "none"

// BurstFaults lists what strikes in a burst.
var BurstFaults = []Kind{NoFault, KillEngine, PauseAgent, PlatformDown, KillEntry}

const (
	classBurst = "burst"
	// burstFirstToken makes admission refuse most of a burst.
	burstFirstToken = 2 * time.Second
	burstTokens     = 60
	// burstFactor is how many times the engines' capacity a burst is.
	burstFactor    = 3
	shortBurst     = 1200 * time.Millisecond
	longBurst      = 12 * time.Second
	urgentCallers  = 4
	lowCallers     = 4
	lowTokens      = 80
	engineSlowdown = 4 // of a full batch, as the stand-in's
)

// burstClass is the class that bursts: above the lowest, below the top.
func burstClass() targets.Class {
	return targets.Class{Name: classBurst, Tier: 2, Model: model, FirstToken: burstFirstToken, Repeatable: true}
}

// burstBound is how long a call that is let in may take: policy's bound until
// it is granted, its own run, and what a fault holds up.
func burstBound(c Cell) time.Duration {
	longest := lowTokens * tokenInterval * engineSlowdown
	bound := policy.WaitBound(engineCapacity, len(classes()), longest) + longest
	if c.Faults[0] != NoFault {
		bound += faultSpan + aftermath
	}
	return bound
}

// burstCell has one class burst, with calls of the top and of the lowest tier
// beside it, and strikes while tickets wait at every agent.
func (r *rig) burstCell(ctx context.Context, c Cell) error {
	ending := make(chan struct{})
	bound := burstBound(c)
	for n := range urgentCallers {
		flag := ask{class: classFlag, tokens: flagTokens, customer: customerLarge, within: bound}
		r.calls.Go(func() { r.repeatPatiently(ctx, ending, flag, n) })
	}
	r.calls.Go(func() {
		r.burst(ctx, c, bound)
		close(ending)
	})
	err := r.strikeBurst(ctx, c, bound)
	r.calls.Wait()
	return err
}

func (r *rig) strikeBurst(ctx context.Context, c Cell, bound time.Duration) error {
	limit, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	if !until(limit, r.allWaiting) {
		return errors.New("no tickets wait at every agent")
	}
	for n := range lowCallers {
		low := ask{class: classSummary, marker: r.mark(classSummary), tokens: lowTokens, customer: customerSmall, within: bound}
		r.calls.Go(func() { r.callPatiently(ctx, low, n) })
	}
	if c.Faults[0] == NoFault {
		pause.For(ctx, faultSpan)
		return nil
	}
	f, err := strike(ctx, c.Faults[0], place{rig: r, entry: r.pick(int(c.Seed)), agent: r.random.IntN(engineCount)})
	if err != nil {
		return err
	}
	pause.For(ctx, faultSpan)
	return f.lift(ctx)
}

// burst sends calls at a steady rate above the engines' capacity, whatever
// becomes of those before.
func (r *rig) burst(ctx context.Context, c Cell, bound time.Duration) {
	span := shortBurst
	if c.Step == StepSaturation {
		span = longBurst
	}
	gap := burstTokens * tokenInterval / (engineCount * engineCapacity * burstFactor)
	onSchedule(ctx, int(span/gap), gap, func(n int) {
		customer := customerLarge
		if n%2 == 0 {
			customer = customerSmall
		}
		a := ask{class: classBurst, marker: r.mark(classBurst), tokens: burstTokens, customer: customer, within: bound}
		r.calls.Go(func() { r.callPatiently(ctx, a, n) })
	})
}

// onSchedule calls do for 0 to count-1, a gap apart. Where one is late, those that are due by
// then follow at once: on a busy machine pauses take longer, and fixed ones would lower the rate.
func onSchedule(ctx context.Context, count int, gap time.Duration, do func(n int)) {
	begin := time.Now()
	for n := range count {
		if !pause.For(ctx, time.Until(begin.Add(time.Duration(n)*gap))) {
			return
		}
		do(n)
	}
}

func (r *rig) repeatPatiently(ctx context.Context, ending <-chan struct{}, a ask, n int) {
	for r.pause(ctx, ending) {
		a.marker = r.mark(a.class)
		r.callPatiently(ctx, a, n)
		n++
	}
}

// callPatiently repeats a call, by turns through every entry, until it is
// served; a refused one comes back after its Retry-After. Only the cell's own
// limit ends it: hints add up the work of a burst and more.
func (r *rig) callPatiently(ctx context.Context, a ask, n int) {
	for ctx.Err() == nil {
		call := r.call(ctx, a, r.pick(n))
		if call.Told == history.ToldWhole {
			return
		}
		n++
		pause.For(ctx, max(call.RetryAfter, pollPause))
	}
}
