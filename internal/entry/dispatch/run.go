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

// errCallerDisconnected is returned when the sink fails, which means that the
// caller disconnected.
var errCallerDisconnected = errors.New("caller disconnected")

// runAttempt records the grant if the request has a GrantRecorder, sends the body
// with the grant and relays the response.
func (j *job) runAttempt(ctx context.Context, grant acceptedGrant) attemptResult {
	if recorder := j.request.GrantRecorder; recorder != nil {
		if err := recorder.RecordGrant(ctx, grant.agent, grant.id); err != nil {
			j.voidBestEffort(ctx, grant)
			return attemptResult{outcome: attemptGrantNotRecorded, reason: "claim_unavailable"}
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.dispatcher.config.Timeline.Record(timeline.KindSent, j.request.ID, j.request.Class.Name, grant.agent)
	j.bodySent = true
	response, err := j.send(ctx, grant)
	if err != nil {
		return j.classifySendError(ctx, grant, err)
	}
	defer response.Body.Close()
	result := j.relay(ctx, response.Body, cancel)
	if result.outcome == attemptInterrupted && !j.responseBegun() {
		result = j.voidInterrupted(ctx, grant, result)
	}
	j.reportToEjector(grant, result)
	return result
}

// voidBestEffort voids an unused grant and ignores errors.
func (j *job) voidBestEffort(ctx context.Context, grant acceptedGrant) {
	_, _ = j.dispatcher.config.Agents.Void(context.WithoutCancel(ctx), grant.agent, grant.id)
}

// send posts the run request to the agent. The error is a dial error if the
// agent is no longer known.
func (j *job) send(ctx context.Context, grant acceptedGrant) (*http.Response, error) {
	addr, ok := j.dispatcher.config.Agents.Addr(grant.agent)
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: errors.New("agent is not in the fleet")}
	}
	body, err := cbor.Marshal(j.newRunRequest(grant))
	if err != nil {
		return nil, errors.Wrap(err, "encode run request")
	}
	// Hiding the reader's type leaves GetBody unset, so that the transport
	// never resends the body by itself. Grants are single-use: a second request
	// would only be refused.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+wire.RunPath, reader)
	if err != nil {
		return nil, errors.Wrap(err, "create run request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+j.dispatcher.config.SystemKey)
	return j.dispatcher.doWithHeaderTimeout(req)
}

func (j *job) newRunRequest(grant acceptedGrant) *wire.RunRequest {
	r := &wire.RunRequest{
		GrantID:    grant.id,
		RequestID:  j.request.ID,
		Attempt:    j.attempt,
		ResumeFrom: j.tokensDelivered,
		Body:       j.request.Body,

		SoftwareVersion: j.version,
	}
	if call := j.request.ServiceCall; call != nil {
		r.Method = call.Method
		r.Path = call.Path
		r.Header = call.Header
	}
	return r
}

// doWithHeaderTimeout sends a request and bounds the wait for the response
// headers. The agent sends them with its first heartbeat at the latest. A
// returned response is no longer subject to the timeout. If the headers arrive
// while the timeout expires, the context is already cancelled and the body
// cannot be read, so wire.ErrHeartbeatTimeout is returned.
func (d *Dispatcher) doWithHeaderTimeout(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	watchdog := wire.NewWatchdog(func() { cancel(wire.ErrHeartbeatTimeout) })
	watchdog.Start()
	response, err := d.client.Do(req.WithContext(ctx))
	inTime := watchdog.Stop()
	if err != nil {
		cancel(nil)
		return nil, errors.Wrap(err, "send body")
	}
	if !inTime {
		_ = response.Body.Close()
		return nil, errors.Wrap(wire.ErrHeartbeatTimeout, "send body")
	}
	return response, nil
}

// classifySendError converts an error of send to a result, which tells whether
// the request may have run.
func (j *job) classifySendError(ctx context.Context, grant acceptedGrant, err error) attemptResult {
	if ctx.Err() != nil {
		return attemptResult{outcome: attemptCancelled}
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		result := attemptResult{outcome: attemptNotRun, reason: "agent_unreachable"}
		j.reportToEjector(grant, result)
		return result
	}
	result := j.voidInterrupted(ctx, grant, attemptResult{outcome: attemptInterrupted, reason: "no_answer"})
	j.reportToEjector(grant, result)
	return result
}

// voidInterrupted asks the agent to void the grant of an interrupted attempt
// that has delivered nothing. If the agent confirms, the grant was not used and
// the request did not run; otherwise it returns the interrupted result
// unchanged.
func (j *job) voidInterrupted(ctx context.Context, grant acceptedGrant, interrupted attemptResult) attemptResult {
	result, err := j.dispatcher.config.Agents.Void(context.WithoutCancel(ctx), grant.agent, grant.id)
	if err == nil && result == wire.VoidDone {
		return attemptResult{outcome: attemptNotRun, reason: "grant_voided"}
	}
	return interrupted
}

// reportToEjector records the result of an attempt for outlier ejection.
func (j *job) reportToEjector(grant acceptedGrant, result attemptResult) {
	outcome := policy.OutcomeComplete
	switch result.outcome {
	case attemptInterrupted:
		outcome = policy.OutcomeFailed
	case attemptNotRun:
		outcome = policy.OutcomeLapsed
	case attemptCancelled, attemptRejected, attemptGrantNotRecorded, attemptPreempted:
		outcome = policy.OutcomeCancelled
	}
	j.dispatcher.policies.recordOutcome(time.Now(), grant.agent, outcome)
}

// relay passes frames to the caller until the stream ends.
func (j *job) relay(ctx context.Context, body io.Reader, cancel func()) attemptResult {
	frames := wire.NewFrameReader(body, cancel)
	defer frames.Close()
	for {
		f, err := frames.Next()
		if err != nil {
			return j.classifyStreamError(ctx, err)
		}
		switch f.Kind {
		case wire.FrameEnd:
			return attemptResult{outcome: attemptCompleted}
		case wire.FrameFail:
			return classifyFailFrame(f)
		case wire.FrameData, wire.FrameHeaders:
			if err := j.deliver(f); err != nil {
				return deliveryFailure(err)
			}
		}
	}
}

// classifyStreamError converts an error of the frame reader to a result.
func (j *job) classifyStreamError(ctx context.Context, err error) attemptResult {
	if errors.Is(err, wire.ErrHeartbeatTimeout) {
		return attemptResult{outcome: attemptInterrupted, reason: "stream_silent"}
	}
	if ctx.Err() != nil {
		return attemptResult{outcome: attemptCancelled}
	}
	return attemptResult{outcome: attemptInterrupted, reason: "stream_cut"}
}

// deliveryFailure converts an error of deliver to a result.
func deliveryFailure(err error) attemptResult {
	if errors.Is(err, ErrInvalidChunk) {
		return attemptResult{outcome: attemptInterrupted, reason: "invalid_chunk"}
	}
	return attemptResult{outcome: attemptCancelled}
}

// deliver passes a frame to the sink and counts its tokens. It returns
// ErrInvalidChunk, or errCallerDisconnected if the sink fails otherwise.
func (j *job) deliver(f wire.Frame) error {
	elapsed := time.Since(j.request.Arrived)
	if f.SoftwareVersion != "" {
		j.attemptVersion = f.SoftwareVersion
	}
	if err := j.sink.WriteFrame(f); errors.Is(err, ErrInvalidChunk) {
		return err
	} else if err != nil {
		return errors.Wrap(errCallerDisconnected, err.Error())
	}
	if f.Kind == wire.FrameData && (f.Tokens > 0 || f.Uncounted || j.request.ServiceCall != nil) && j.timeToFirstToken == 0 {
		j.timeToFirstToken = elapsed
		j.dispatcher.config.Timeline.Record(timeline.KindFirstToken, j.request.ID, j.request.Class.Name, "")
	}
	if f.Tokens > 0 {
		j.version = j.attemptVersion
	}
	j.headDelivered = j.headDelivered || f.Kind == wire.FrameHeaders
	j.tokensDelivered += f.Tokens
	j.uncounted = j.uncounted || f.Uncounted
	return nil
}

// classifyFailFrame converts a failure reported by the agent to a result.
func classifyFailFrame(f wire.Frame) attemptResult {
	switch f.Fail {
	case wire.FailNotRun:
		return attemptResult{outcome: attemptNotRun, reason: "not_started"}
	case wire.FailOtherVersion:
		return attemptResult{outcome: attemptNotRun, reason: "other_version"}
	case wire.FailRejected:
		return attemptResult{outcome: attemptRejected, httpStatus: f.Status, body: f.Data}
	case wire.FailPreempted:
		return attemptResult{outcome: attemptPreempted, reason: "preempted"}
	case wire.FailUnknown:
		return attemptResult{outcome: attemptInterrupted, reason: "start_unknown"}
	default:
		return attemptResult{outcome: attemptInterrupted, reason: "engine_cut"}
	}
}
