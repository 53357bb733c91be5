package matrix

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/testbed/history"
)

const (
	// stepTimeout bounds the wait for a step.
	stepTimeout = 30 * time.Second
	// subjectTokens is the length of the subject's response.
	subjectTokens = 60
	// maxRetries is how often a caller retries a request without a complete response.
	maxRetries = 3
)

// runRequestCell runs a cell whose subject is a request.
func (h *harness) runRequestCell(ctx context.Context, c Cell) error {
	loc := location{harness: h, entry: h.pickEntry(int(c.Seed))}
	if c.Step == StepWaiting {
		if err := h.saturateEngines(ctx); err != nil {
			return err
		}
	}
	b := h.setBreakpoint(c.Step, string(c.Subject))
	defer b.release()
	subject := callerRequest{class: string(c.Subject), marker: h.newMarker(string(c.Subject)), tokens: subjectTokens, customer: customerLarge}
	if c.Subject == SubjectDocket {
		subject.key = uuid.NewString()
	}
	done := make(chan history.Call, 1)
	go func() { done <- h.call(ctx, subject, loc.entry) }()
	var err error
	if loc.agent, err = h.awaitStep(ctx, c.Step, b, done); err != nil {
		return err
	}
	call, err := h.injectAtStep(ctx, c, loc, b, done)
	if err != nil {
		return err
	}
	if subject.key != "" {
		h.retryCall(ctx, subject, call)
	}
	return nil
}

// awaitStep waits until the subject has reached the step and returns the index of
// the agent that handles it, or of a random agent for StepWaiting.
func (h *harness) awaitStep(ctx context.Context, step Step, b *breakpoint, done chan history.Call) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	switch step {
	case StepWaiting:
		if !pollUntil(ctx, func() bool { return b.requestID() != "" }) {
			return 0, errors.Wrap(ctx.Err(), "wait for the ticket")
		}
		return h.rng.IntN(engineCount), nil
	case StepAfterEnd:
		select {
		case call := <-done:
			done <- call
			return h.engineOf(call.Marker)
		case <-ctx.Done():
			return 0, errors.Wrap(ctx.Err(), "wait for the call's end")
		}
	}
	agent, err := b.wait(ctx)
	if err != nil {
		return 0, errors.Wrapf(err, "wait for step %s", step)
	}
	return agent, nil
}

// engineOf returns the index of the engine that ran the work.
func (h *harness) engineOf(marker string) (int, error) {
	for i, backend := range h.fleet.Backends {
		records, err := backend.Server.Runs()
		if err != nil {
			return 0, err
		}
		for _, record := range records {
			if record.Marker == marker {
				return i, nil
			}
		}
	}
	return 0, errors.Errorf("no engine ran %s", marker)
}

// injectAtStep injects the faults, lets the subject continue, and clears the
// faults once the subject has ended or faultDuration has passed. It returns the
// subject's call.
func (h *harness) injectAtStep(ctx context.Context, c Cell, loc location, b *breakpoint, done chan history.Call) (history.Call, error) {
	var faults []*fault
	for i, kind := range c.Faults {
		f, err := inject(ctx, kind, loc.offset(i))
		if err != nil {
			return history.Call{}, err
		}
		faults = append(faults, f)
	}
	b.release()
	if c.Step == StepWaiting {
		h.restoreEngines(ctx, faults)
	}
	faultCtx, cancel := context.WithTimeout(ctx, faultDuration)
	defer cancel()
	var call history.Call
	ended := false
	select {
	case call = <-done:
		ended = true
	case <-faultCtx.Done():
	}
	for _, f := range faults {
		if err := f.clear(ctx); err != nil {
			return call, err
		}
	}
	if c.Step == StepWaiting {
		h.restoreEngines(ctx, nil)
	}
	if !ended {
		call = <-done
	}
	return call, nil
}

// offset returns the location of the n-th fault: the first is injected where the
// subject is, the second at the other process of its kind.
func (l location) offset(n int) location {
	if n == 0 {
		return l
	}
	l.agent = (l.agent + n) % engineCount
	l.entry = l.harness.fleet.Entries[(l.entryIndex()+n)%entryCount]
	return l
}

// entryIndex returns the index of the entry in the fleet, or 0 for an unknown one.
func (l location) entryIndex() int {
	for i, entry := range l.harness.fleet.Entries {
		if entry == l.entry {
			return i
		}
	}
	return 0
}

// retryCall retries an unserved call through other entries with the same
// idempotency key, as its caller would.
func (h *harness) retryCall(ctx context.Context, request callerRequest, last history.Call) {
	for n := range maxRetries {
		if last.Outcome == history.OutcomeComplete || ctx.Err() != nil {
			return
		}
		if entry := h.pickEntry(n + 1); entry != nil {
			last = h.call(ctx, request, entry)
		}
	}
}
