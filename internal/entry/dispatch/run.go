package dispatch

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// errCaller: the sink refused a frame; the caller has gone.
var errCaller = errors.New("caller has gone")

// run sends the body with its grant and relays the answer.
func (j *job) run(ctx context.Context, o offer) end {
	if guard := j.request.Guard; guard != nil {
		if err := guard.Take(ctx, o.agent, o.grant); err != nil {
			j.voidQuietly(ctx, o)
			return end{kind: endBlocked, reason: "claim_unavailable"}
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.dispatcher.config.Ring.Record(timeline.KindSent, j.request.ID, j.request.Class.Name, o.agent)
	j.sent = true
	response, err := j.send(ctx, o)
	if err != nil {
		return j.sendFailed(ctx, o, err)
	}
	defer response.Body.Close()
	e := j.relay(ctx, response.Body, cancel)
	if e.kind == endCut && !j.answered() {
		e = j.settle(ctx, o, e)
	}
	j.observe(o, e)
	return e
}

func (j *job) voidQuietly(ctx context.Context, o offer) {
	_, _ = j.dispatcher.config.Agents.Void(context.WithoutCancel(ctx), o.agent, o.grant)
}

func (j *job) send(ctx context.Context, o offer) (*http.Response, error) {
	addr, ok := j.dispatcher.config.Agents.Addr(o.agent)
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: errors.New("agent has left")}
	}
	body, err := cbor.Marshal(j.runRequest(o))
	if err != nil {
		return nil, errors.Wrap(err, "encode run request")
	}
	// A reader that is not one of the known buffers leaves GetBody unset, so
	// that the transport never sends the body a second time by itself. A
	// grant is single use, so a second one would only be refused.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+wire.RunPath, reader)
	if err != nil {
		return nil, errors.Wrap(err, "make run request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+j.dispatcher.config.SystemKey)
	return j.dispatcher.awaitHead(req)
}

func (j *job) runRequest(o offer) *wire.RunRequest {
	r := &wire.RunRequest{
		Grant:      o.grant,
		Request:    j.request.ID,
		Attempt:    j.attempt,
		ResumeFrom: j.tokens,
		Body:       j.request.Body,
	}
	if call := j.request.Call; call != nil {
		r.Method = call.Method
		r.Path = call.Path
		r.Header = call.Header
	}
	return r
}

// awaitHead bounds the wait for the agent's first bytes, which come with its
// first heartbeat at the latest. A response that it returns isn't cut any more:
// where the wait was given up while the head came, nothing of the response can
// be read, and it counts as silent.
func (d *Dispatcher) awaitHead(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	silence := wire.NewSilence(func() { cancel(wire.ErrSilent) })
	silence.Begin()
	response, err := d.client.Do(req.WithContext(ctx))
	inTime := silence.End()
	if err != nil {
		cancel(nil)
		return nil, errors.Wrap(err, "send body")
	}
	if !inTime {
		_ = response.Body.Close()
		return nil, errors.Wrap(wire.ErrSilent, "send body")
	}
	return response, nil
}

// sendFailed tells what certainly did not run from what may have.
func (j *job) sendFailed(ctx context.Context, o offer, err error) end {
	if ctx.Err() != nil {
		return end{kind: endGone}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		e := end{kind: endNotRun, reason: "agent_unreachable"}
		j.observe(o, e)
		return e
	}
	e := j.settle(ctx, o, end{kind: endCut, reason: "no_answer"})
	j.observe(o, e)
	return e
}

// settle asks the agent whether a grant whose run showed no sign was used.
func (j *job) settle(ctx context.Context, o offer, e end) end {
	result, err := j.dispatcher.config.Agents.Void(context.WithoutCancel(ctx), o.agent, o.grant)
	if err == nil && result == wire.VoidDone {
		return end{kind: endNotRun, reason: "grant_voided"}
	}
	return e
}

func (j *job) observe(o offer, e end) {
	outcome := policy.OutcomeWhole
	switch e.kind {
	case endCut:
		outcome = policy.OutcomeFailed
	case endNotRun:
		outcome = policy.OutcomeLapsed
	case endGone, endRejected, endBlocked, endPreempted:
		outcome = policy.OutcomeCancelled
	}
	j.dispatcher.shared.observe(time.Now(), o.agent, outcome)
}

// relay passes frames to the caller until the stream's end.
func (j *job) relay(ctx context.Context, body io.Reader, cancel func()) end {
	frames := wire.NewFrameReader(body, cancel)
	defer frames.Close()
	for {
		f, err := frames.Next()
		if err != nil {
			return j.streamFailed(ctx, err)
		}
		switch f.Kind {
		case wire.FrameEnd:
			return end{kind: endWhole}
		case wire.FrameFail:
			return failed(f)
		case wire.FrameData, wire.FrameHead:
			if err := j.deliver(f); err != nil {
				return end{kind: endGone}
			}
		}
	}
}

func (j *job) streamFailed(ctx context.Context, err error) end {
	if errors.Is(err, wire.ErrSilent) {
		return end{kind: endCut, reason: "stream_silent"}
	}
	if ctx.Err() != nil {
		return end{kind: endGone}
	}
	return end{kind: endCut, reason: "stream_cut"}
}

func (j *job) deliver(f wire.Frame) error {
	if f.Kind == wire.FrameData && (f.Tokens > 0 || j.request.Call != nil) && j.firstToken == 0 {
		j.firstToken = time.Since(j.request.Arrived)
		j.dispatcher.config.Ring.Record(timeline.KindFirstToken, j.request.ID, j.request.Class.Name, "")
	}
	if err := j.sink.Frame(f); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	j.tokens += f.Tokens
	return nil
}

func failed(f wire.Frame) end {
	switch f.Fail {
	case wire.FailNotRun:
		return end{kind: endNotRun, reason: "not_started"}
	case wire.FailRejected:
		return end{kind: endRejected, status: f.Status, body: f.Data}
	case wire.FailPreempted:
		return end{kind: endPreempted, reason: "preempted"}
	case wire.FailUnknown:
		return end{kind: endCut, reason: "start_unknown"}
	default:
		return end{kind: endCut, reason: "engine_cut"}
	}
}
