package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

const (
	// maxRunRequest bounds a granted request in bytes: the entry's bound on a
	// body and room for the rest.
	maxRunRequest = 5 << 20
	// runReadTimeout bounds the reading of a body from an entry.
	runReadTimeout = 10 * time.Second
)

// serveRun runs a granted request and relays its answer. What goes wrong is
// told in frames too, so that the entry has one thing to read.
func (a *Agent) serveRun(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(runReadTimeout))
	var req wire.RunRequest
	body := http.MaxBytesReader(w, r.Body, maxRunRequest)
	if err := cbor.NewDecoder(body).Decode(&req); err != nil {
		http.Error(w, "malformed run request", http.StatusBadRequest)
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	out := wire.NewFrameWriter(w)
	g, ok := a.table.take(&req)
	if !ok {
		_ = out.Write(wire.Frame{Kind: wire.FrameFail, Fail: wire.FailNotRun})
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	run := &run{agent: a, grant: g, req: &req, out: out, cancel: cancel}
	outcome := run.serve(ctx)
	a.table.finish(g, outcome)
}

// run is one granted request on its backend server.
type run struct {
	agent  *Agent
	grant  *grant
	req    *wire.RunRequest
	out    *wire.FrameWriter
	cancel context.CancelFunc
}

func (r *run) serve(ctx context.Context) policy.Outcome {
	steps := make(chan step)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer r.cancel()
	wg.Go(func() { r.produce(ctx, steps) })
	return r.relay(ctx, steps)
}

// produce starts the run and hands its steps over. It stands beside relay, so
// that heartbeats go on while the backend server takes its time to start.
func (r *run) produce(ctx context.Context, steps chan<- step) {
	source, err := r.start(ctx)
	if err != nil {
		hand(ctx, steps, step{err: err, notStarted: true})
		return
	}
	defer source.Close()
	pump(ctx, source, steps)
}

func (r *run) start(ctx context.Context) (source, error) {
	if r.agent.service != nil {
		return startService(ctx, r.agent.service, r.req)
	}
	stream, err := r.agent.model.Start(ctx, engine.Run{
		ID:         r.grant.ticketID,
		Priority:   r.grant.tier,
		Body:       r.req.Body,
		ResumeFrom: r.req.ResumeFrom,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start run")
	}
	return &engineSource{stream: stream}, nil
}

// relay passes steps on as frames, with heartbeats between them. The backend
// server's silence is counted in heartbeats that were due, not by a timer: while a
// write to the entry is held up or the process stands still, one is due at the
// most, and a step that has come goes before it.
func (r *run) relay(ctx context.Context, steps <-chan step) policy.Outcome {
	heartbeat := time.NewTicker(wire.HeartbeatEvery)
	defer heartbeat.Stop()
	bounds := r.bounds()
	bound, silent := bounds.first, time.Duration(0)
	for {
		s, came := step{}, true
		select {
		case s = <-steps:
		case <-heartbeat.C:
			s, came = handed(steps)
		case <-r.grant.cancel:
			_ = r.out.Write(wire.Frame{Kind: wire.FrameFail, Fail: wire.FailPreempted})
			return policy.OutcomeCancelled
		case <-ctx.Done():
			return policy.OutcomeCancelled
		}
		if came {
			bound, silent = bounds.next, 0
			if outcome, ended := r.pass(ctx, s); ended {
				return outcome
			}
			continue
		}
		// The first heartbeat may have been due at once after a step.
		if silent += wire.HeartbeatEvery; silent > bound {
			return r.fail(ctx, wire.FailCut, engine.ErrCut)
		}
		if err := r.out.Write(wire.Frame{Kind: wire.FrameHeartbeat}); err != nil {
			return policy.OutcomeCancelled
		}
	}
}

// pass passes one step on and reports whether the run has ended with it.
func (r *run) pass(ctx context.Context, s step) (outcome policy.Outcome, ended bool) {
	if s.notStarted {
		return r.fail(ctx, startFailure(s.err), s.err), true
	}
	if s.err != nil {
		return r.end(ctx, s.err), true
	}
	if s.frame.Tokens > 0 {
		r.agent.table.tokens(r.grant, s.frame.Tokens)
	}
	if err := r.out.Write(s.frame); err != nil {
		return policy.OutcomeCancelled, true
	}
	return outcome, false
}

// handed returns a step that waits to be taken.
func handed(steps <-chan step) (s step, ok bool) {
	select {
	case s = <-steps:
		return s, true
	default:
		return s, false
	}
}

func (r *run) end(ctx context.Context, err error) policy.Outcome {
	if !errors.Is(err, io.EOF) {
		return r.fail(ctx, wire.FailCut, err)
	}
	if err := r.out.Write(wire.Frame{Kind: wire.FrameEnd}); err != nil {
		return policy.OutcomeCancelled
	}
	return policy.OutcomeWhole
}

// bounds are those for the kind of backend server.
func (r *run) bounds() silence {
	if r.agent.service != nil {
		return serviceSilence
	}
	return engineSilence
}

func startFailure(err error) wire.FailKind {
	var rejected *engine.RejectedError
	switch {
	case errors.As(err, &rejected):
		return wire.FailRejected
	case errors.Is(err, engine.ErrUnreachable):
		return wire.FailNotRun
	default:
		return wire.FailUnknown
	}
}

func (r *run) fail(ctx context.Context, kind wire.FailKind, err error) policy.Outcome {
	if ctx.Err() != nil {
		return policy.OutcomeCancelled
	}
	f := wire.Frame{Kind: wire.FrameFail, Fail: kind}
	var rejected *engine.RejectedError
	if errors.As(err, &rejected) {
		f.Status = rejected.Status
		f.Data = rejected.Body
	}
	_ = r.out.Write(f)
	if kind == wire.FailRejected {
		return policy.OutcomeCancelled
	}
	return policy.OutcomeFailed
}
