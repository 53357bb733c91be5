package matrix

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/testbed/history"
)

const (
	// stepLimit is how long a step may take to be reached.
	stepLimit = 30 * time.Second
	// subjectTokens is the length of a subject's answer.
	subjectTokens = 60
	// repeats is how often a caller repeats a request that was not answered.
	repeats = 3
)

// requestCell runs a cell whose subject is a request.
func (r *rig) requestCell(ctx context.Context, c Cell) error {
	at := place{rig: r, entry: r.pick(int(c.Seed))}
	if c.Step == StepWaiting {
		if err := r.fillEngines(ctx); err != nil {
			return err
		}
	}
	reach := r.arrange(c.Step, string(c.Subject))
	defer reach.release()
	subject := ask{class: string(c.Subject), marker: r.mark(string(c.Subject)), tokens: subjectTokens, customer: customerLarge}
	if c.Subject == SubjectDocket {
		subject.key = uuid.NewString()
	}
	told := make(chan history.Call, 1)
	go func() { told <- r.call(ctx, subject, at.entry) }()
	var err error
	if at.agent, err = r.await(ctx, c.Step, reach, told); err != nil {
		return err
	}
	call, err := r.strikeAll(ctx, c, at, reach, told)
	if err != nil {
		return err
	}
	if subject.key != "" {
		r.repeatCall(ctx, subject, call)
	}
	return nil
}

// await waits until the subject has reached the step and returns the agent
// that it is at.
func (r *rig) await(ctx context.Context, step Step, h *reach, told chan history.Call) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	switch step {
	case StepWaiting:
		if !until(ctx, func() bool { return h.id() != "" }) {
			return 0, errors.Wrap(ctx.Err(), "no ticket")
		}
		return r.random.IntN(engineCount), nil
	case StepAfterEnd:
		select {
		case call := <-told:
			told <- call
			return r.ranAt(call.Marker)
		case <-ctx.Done():
			return 0, errors.Wrap(ctx.Err(), "no end")
		}
	}
	agent, err := h.wait(ctx)
	if err != nil {
		return 0, errors.Wrapf(err, "step %s", step)
	}
	return agent, nil
}

// ranAt finds the engine that ran the work.
func (r *rig) ranAt(marker string) (int, error) {
	for i, backend := range r.fleet.Backends {
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
	return 0, errors.Errorf("%s ran nowhere", marker)
}

// strikeAll brings the faults about at the step, lets the subject go on,
// lifts the faults when it has its end or their time is over, and returns
// what the subject's caller was told.
func (r *rig) strikeAll(ctx context.Context, c Cell, at place, h *reach, told chan history.Call) (history.Call, error) {
	var faults []*fault
	for i, kind := range c.Faults {
		f, err := strike(ctx, kind, at.shifted(i))
		if err != nil {
			return history.Call{}, err
		}
		faults = append(faults, f)
	}
	h.release()
	if c.Step == StepWaiting {
		r.calmEngines(ctx, faults)
	}
	span, cancel := context.WithTimeout(ctx, faultSpan)
	defer cancel()
	var call history.Call
	ended := false
	select {
	case call = <-told:
		ended = true
	case <-span.Done():
	}
	for _, f := range faults {
		if err := f.lift(ctx); err != nil {
			return call, err
		}
	}
	if c.Step == StepWaiting {
		r.calmEngines(ctx, nil)
	}
	if !ended {
		call = <-told
	}
	return call, nil
}

// shifted is where the n-th fault strikes: the first where the subject is,
// the second at the other process of its kind.
func (p place) shifted(n int) place {
	if n == 0 {
		return p
	}
	p.agent = (p.agent + n) % engineCount
	p.entry = p.rig.fleet.Entries[(p.entryNumber()+n)%entryCount]
	return p
}

func (p place) entryNumber() int {
	for i, entry := range p.rig.fleet.Entries {
		if entry == p.entry {
			return i
		}
	}
	return 0
}

// repeatCall repeats a call through another entry, as its caller would, with
// the same key.
func (r *rig) repeatCall(ctx context.Context, a ask, last history.Call) {
	for n := range repeats {
		if last.Told == history.ToldWhole || ctx.Err() != nil {
			return
		}
		if entry := r.pick(n + 1); entry != nil {
			last = r.call(ctx, a, entry)
		}
	}
}
