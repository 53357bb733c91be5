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
	// maxRunRequestBytes bounds a run request: the entry's limit for a body
	// plus space for the other fields.
	maxRunRequestBytes = 5 << 20
	// runBodyTimeout bounds the reading of a run request from an entry.
	runBodyTimeout = 10 * time.Second
)

// serveRun runs a granted request and relays its response. Once the run
// request is decoded, failures are reported in frames as well, so that the
// entry has a single format to parse.
func (a *Agent) serveRun(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(runBodyTimeout))
	var req wire.RunRequest
	body := http.MaxBytesReader(w, r.Body, maxRunRequestBytes)
	if err := cbor.NewDecoder(body).Decode(&req); err != nil {
		http.Error(w, "malformed run request", http.StatusBadRequest)
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	out := wire.NewFrameWriter(w)
	g, ok := a.dispatcher.useGrant(&req)
	if !ok {
		_ = out.Write(wire.Frame{Kind: wire.FrameFail, Fail: wire.FailNotRun})
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	run := &run{agent: a, grant: g, req: &req, out: out, cancel: cancel}
	// It stays so if serving the run panics, after which net/http goes on.
	outcome := policy.OutcomeFailed
	defer func() { a.dispatcher.finishRun(g, outcome) }()
	outcome = run.serve(ctx)
}

// run is the execution of one granted request on the backend server.
type run struct {
	agent  *Agent
	grant  *grant
	req    *wire.RunRequest
	out    *wire.FrameWriter
	cancel context.CancelFunc
}

func (r *run) serve(ctx context.Context) policy.Outcome {
	results := make(chan frameResult)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer r.cancel()
	wg.Go(func() {
		defer r.cancelOnPanic()
		r.readBackend(ctx, results)
	})
	return r.relay(ctx, results)
}

// cancelOnPanic is deferred by the goroutine that sends results: relay would
// otherwise wait for them until the idle timeout.
func (r *run) cancelOnPanic() {
	if p := recover(); p != nil {
		r.cancel()
		panic(p)
	}
}

// readBackend starts the run and sends its frames to results. It runs
// concurrently with relay, so that heartbeats continue while the backend server
// is slow to start the run.
func (r *run) readBackend(ctx context.Context, results chan<- frameResult) {
	source, err := r.start(ctx)
	if err != nil {
		sendResult(ctx, results, frameResult{err: err, notStarted: true})
		return
	}
	defer source.Close()
	sendFrames(ctx, source, results)
}

func (r *run) start(ctx context.Context) (frameSource, error) {
	if r.agent.service != nil {
		return startServiceCall(ctx, r.agent.service, r.req)
	}
	stream, err := r.agent.engine.Start(ctx, engine.Run{
		ID:         r.grant.ticketID,
		Priority:   r.grant.tier,
		Body:       r.req.Body,
		ResumeFrom: r.req.ResumeFrom,

		SoftwareVersion: r.req.SoftwareVersion,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start run")
	}
	return &engineSource{stream: stream}, nil
}

// relay writes frames to the entry, with heartbeats between them. It measures
// the backend server's idle time as the number of heartbeat ticks without a
// frame, not with a timer. While a write to the entry blocks or the process is
// paused, at most one tick accumulates, and a frame that is ready is handled
// before that tick. Such a pause thus adds at most one heartbeat interval to the
// idle time, and none if a frame is ready.
func (r *run) relay(ctx context.Context, results <-chan frameResult) policy.Outcome {
	heartbeat := time.NewTicker(wire.HeartbeatInterval)
	defer heartbeat.Stop()
	timeouts := r.idleTimeouts()
	timeout, idle := timeouts.first, time.Duration(0)
	for {
		result, received := frameResult{}, true
		select {
		case result = <-results:
		case <-heartbeat.C:
			result, received = pollResult(results)
		case <-r.grant.preempted:
			_ = r.out.Write(wire.Frame{Kind: wire.FrameFail, Fail: wire.FailPreempted})
			return policy.OutcomeCancelled
		case <-ctx.Done():
			return policy.OutcomeCancelled
		}
		if received {
			timeout, idle = timeouts.next, 0
			if outcome, ended := r.relayResult(ctx, result); ended {
				return outcome
			}
			continue
		}
		// The first tick may come immediately after a frame, hence ">".
		if idle += wire.HeartbeatInterval; idle > timeout {
			return r.fail(ctx, wire.FailInterrupted, engine.ErrTruncated)
		}
		if err := r.out.Write(wire.Frame{Kind: wire.FrameHeartbeat}); err != nil {
			return policy.OutcomeCancelled
		}
	}
}

// relayResult writes one frame, or the failure or end of the run, to the
// entry. It reports whether the run has ended.
func (r *run) relayResult(ctx context.Context, result frameResult) (outcome policy.Outcome, ended bool) {
	if result.notStarted {
		return r.fail(ctx, startFailKind(result.err), result.err), true
	}
	if result.err != nil {
		return r.finish(ctx, result.err), true
	}
	if result.frame.Tokens > 0 {
		r.agent.dispatcher.recordTokens(r.grant, result.frame.Tokens)
	}
	if err := r.out.Write(result.frame); err != nil {
		return policy.OutcomeCancelled, true
	}
	return outcome, false
}

// pollResult returns a result if one is ready, without blocking.
func pollResult(results <-chan frameResult) (result frameResult, ok bool) {
	select {
	case result = <-results:
		return result, true
	default:
		return result, false
	}
}

// finish writes FrameEnd if err is io.EOF, and reports the failure err otherwise.
// It returns the outcome of the run.
func (r *run) finish(ctx context.Context, err error) policy.Outcome {
	if !errors.Is(err, io.EOF) {
		return r.fail(ctx, wire.FailInterrupted, err)
	}
	if err := r.out.Write(wire.Frame{Kind: wire.FrameEnd}); err != nil {
		return policy.OutcomeCancelled
	}
	return policy.OutcomeComplete
}

// idleTimeouts returns the timeouts for the kind of backend server.
func (r *run) idleTimeouts() idleTimeouts {
	if r.agent.service != nil {
		return serviceIdleTimeouts
	}
	return engineIdleTimeouts
}

// startFailKind returns the failure kind for the error of a run that could not be
// started.
func startFailKind(err error) wire.FailKind {
	var rejected *engine.RejectedError
	switch {
	case errors.As(err, &rejected):
		return wire.FailRejected
	case errors.Is(err, engine.ErrUnreachable):
		return wire.FailNotRun
	case errors.Is(err, engine.ErrOtherVersion):
		return wire.FailOtherVersion
	default:
		return wire.FailUnknown
	}
}

// fail writes a FrameFail of the given kind, unless ctx has ended because the
// entry disconnected, and returns the outcome of the run. A run that the engine
// rejected, or whose stream began at another version, counts as cancelled, not as failed.
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
	if kind == wire.FailRejected || kind == wire.FailOtherVersion {
		return policy.OutcomeCancelled
	}
	return policy.OutcomeFailed
}
