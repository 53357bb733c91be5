package dispatch

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// maxAttempts bounds the runs of one request; the retry budget bounds those
// of all.
const maxAttempts = 5

// job is one request on its way. Only the goroutine of its caller uses it.
type job struct {
	dispatcher *Dispatcher
	request    *Request
	sink       Sink

	attempt   int
	preempted int
	tokens    int
	// had is how many of tokens the caller had when the last attempt began.
	had int
	// continued says that a stream that was cut has been continued.
	continued  bool
	sent       bool
	started    bool
	firstToken time.Duration
}

// carry tries until an attempt decides the request.
func (j *job) carry(ctx context.Context) Result {
	for {
		j.attempt++
		o, refused := j.find(ctx)
		if refused != nil {
			return j.afterRefusal(*refused)
		}
		j.had = j.tokens
		end := j.run(ctx, o)
		if result, final := j.decide(end); final {
			return result
		}
		j.dispatcher.config.Ring.Record(timeline.KindRetry, j.request.ID, j.request.Class.Name, end.reason)
	}
}

// afterRefusal: a request that was refused after an earlier attempt had run in
// part can't be called not run.
func (j *job) afterRefusal(refused Result) Result {
	if refused.Outcome == NotRun && j.started {
		return Result{Outcome: Failed, Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	return refused
}

// decide says what the end of an attempt means: a final result, or a retry.
func (j *job) decide(e end) (Result, bool) {
	switch e.kind {
	case endWhole:
		return Result{Outcome: Whole, Reason: "whole"}, true
	case endRejected:
		return Result{Outcome: Rejected, Reason: "rejected", Status: e.status, Body: e.body}, true
	case endGone:
		return Result{Outcome: Gone, Reason: "caller_gone"}, true
	case endBlocked:
		return Result{Outcome: NotRun, Reason: e.reason, RetryAfter: emptyWait}, true
	case endNotRun:
		return j.retryOr(Result{Outcome: NotRun, Reason: e.reason, RetryAfter: emptyWait})
	}
	j.started = true
	if e.kind == endPreempted && j.request.resumable() {
		// No failure: neither the budget nor the bound on attempts is for it.
		// The policy lets a resumed run get on before it is stopped again.
		j.preempted++
		j.started = true
		return Result{}, false
	}
	if !j.request.Repeatable {
		return Result{Outcome: Unknown, Reason: e.reason}, true
	}
	if j.answered() && !j.request.resumable() {
		return Result{Outcome: Failed, Reason: e.reason}, true
	}
	return j.retryOr(Result{Outcome: Failed, Reason: e.reason})
}

// answered reports whether the caller already has a part of the answer.
func (j *job) answered() bool { return j.firstToken > 0 }

func (j *job) retryOr(last Result) (Result, bool) {
	if j.attempt-j.preempted >= maxAttempts {
		return j.afterRefusal(last), true
	}
	if j.continuesOnce() {
		return Result{}, false
	}
	if !j.dispatcher.shared.allowRetry(time.Now()) {
		last.Reason = "retry_budget"
		return j.afterRefusal(last), true
	}
	return Result{}, false
}

// continuesOnce reports whether the request is a stream that got on before it was
// cut, for the first time: it is continued whatever the retry budget. An
// availability zone that is lost cuts many streams at once, and giving one up wastes
// what its caller has, while the rest of it is no more work than was let in. Further
// cuts count, so that servers that break off every stream don't get their load back.
func (j *job) continuesOnce() bool {
	if j.continued || !j.request.resumable() || j.tokens == j.had {
		return false
	}
	j.continued = true
	return true
}

func (j *job) tier() policy.Tier { return policy.Tier(j.request.Class.Tier) }

func (j *job) ticket() *wire.Ticket {
	r := j.request
	within, due := r.Class.Deadline()
	slack := within - time.Since(r.Arrived)
	return &wire.Ticket{
		Request:  r.ID,
		Attempt:  j.attempt,
		Class:    r.Class.Name,
		Tier:     r.Class.Tier,
		Customer: r.Customer,
		SlackMS:  slack.Milliseconds(),
		Due:      due,
		Size:     r.Size,
		Prefix:   r.Prefix,
		Copies:   policy.Copies(j.tier()),
		Retry:    j.started,

		Preemptible: r.preemptible(),
		Serves:      r.Serves,
	}
}
