package dispatch

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/timeline"
	"github.com/applepier/applepier/internal/wire"
	"github.com/applepier/applepier/policy"
)

// maxAttempts bounds the attempts of one request, not counting preempted ones.
// The retry budget bounds the retries of all requests together.
const maxAttempts = 5

// job is the state of one request across its attempts. It is used only by the
// goroutine that called Dispatcher.Do.
type job struct {
	dispatcher *Dispatcher
	request    *Request
	sink       Sink

	// attempt is the number of the current attempt, from 1.
	attempt         int
	preemptions     int
	tokensDelivered int
	// tokensBeforeAttempt is the value of tokensDelivered when the last attempt
	// began.
	tokensBeforeAttempt int
	// headDelivered is set once the status and headers of a plain service's response
	// were delivered. Those of another run can't follow.
	headDelivered bool
	// uncounted is set once output was delivered that tokensDelivered doesn't count,
	// such as tool calls. The stream can't be resumed then: it would repeat them.
	uncounted bool
	// notStarted lists the agents that granted an attempt and didn't run it. The next
	// attempts ask other agents first.
	notStarted []string
	// attemptVersion is the software version of the current attempt's engine, and
	// version that of the engines whose tokens were delivered; empty if they report
	// none. Only engines of that version may continue the stream.
	attemptVersion, version string
	// resumedOutsideBudget is set once an interrupted stream was resumed
	// without using the retry budget.
	resumedOutsideBudget bool
	bodySent             bool
	mayHaveRun           bool
	timeToFirstToken     time.Duration
}

// execute runs attempts until one of them has a final result.
func (j *job) execute(ctx context.Context) Result {
	for {
		j.attempt++
		grant, refused := j.acquireGrant(ctx)
		if refused != nil {
			return j.refusalResult(*refused)
		}
		j.tokensBeforeAttempt, j.attemptVersion = j.tokensDelivered, ""
		attempted := j.runAttempt(ctx, grant)
		if attempted.outcome == attemptNotRun {
			j.notStarted = append(j.notStarted, grant.agent)
		}
		if result, final := j.evaluate(attempted); final {
			return result
		}
		j.dispatcher.config.Timeline.Record(timeline.KindRetry, j.request.ID, j.request.Class.Name, attempted.reason)
	}
}

// refusalResult turns NotRun into Failed if an earlier attempt may have run.
func (j *job) refusalResult(refused Result) Result {
	if refused.Outcome == NotRun && j.mayHaveRun {
		return Result{Outcome: Failed, Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	return refused
}

// evaluate returns the final result after an attempt, or false if the request
// must be attempted again.
func (j *job) evaluate(attempted attemptResult) (Result, bool) {
	switch attempted.outcome {
	case attemptCompleted:
		return Result{Outcome: Completed, Reason: "whole"}, true
	case attemptRejected:
		return Result{Outcome: Rejected, Reason: "rejected", Status: attempted.httpStatus, Body: attempted.body}, true
	case attemptCancelled:
		return Result{Outcome: Cancelled, Reason: "caller_gone"}, true
	case attemptGrantNotRecorded:
		return Result{Outcome: NotRun, Reason: attempted.reason, RetryAfter: noAgentTimeout}, true
	case attemptNotRun:
		return j.retryOrReturn(Result{Outcome: NotRun, Reason: attempted.reason, RetryAfter: noAgentTimeout})
	}
	j.mayHaveRun = true
	if attempted.outcome == attemptPreempted && j.resumable() {
		// Preemption is not a failure, so it uses neither the retry budget nor
		// the attempt limit. The agents' scheduling policy lets a resumed run
		// make progress before it preempts it again.
		j.preemptions++
		j.mayHaveRun = true
		return Result{}, false
	}
	if !j.request.Repeatable {
		return Result{Outcome: Unknown, Reason: attempted.reason}, true
	}
	if j.responseBegun() && !j.resumable() {
		return Result{Outcome: Failed, Reason: attempted.reason}, true
	}
	return j.retryOrReturn(Result{Outcome: Failed, Reason: attempted.reason})
}

// resumable reports whether an interrupted response can be continued.
func (j *job) resumable() bool { return j.request.resumable() && !j.uncounted }

// responseBegun reports whether output of a model or, from a plain service, the head or a
// part of the body was passed to the sink.
func (j *job) responseBegun() bool { return j.timeToFirstToken > 0 || j.headDelivered }

// retryOrReturn returns false if the request may be retried, otherwise the
// final result derived from last.
func (j *job) retryOrReturn(last Result) (Result, bool) {
	if j.attempt-j.preemptions >= maxAttempts {
		return j.refusalResult(last), true
	}
	if j.allowResumeOutsideBudget() {
		return Result{}, false
	}
	if !j.dispatcher.policies.allowRetry(time.Now()) {
		last.Reason = "retry_budget"
		return j.refusalResult(last), true
	}
	return Result{}, false
}

// allowResumeOutsideBudget reports whether an interrupted stream may be resumed
// without using the retry budget, and records that it was. It returns true once
// per request: for the first attempt that delivered tokens before it was
// interrupted. The loss of an availability zone interrupts many streams at once
// and would exhaust the budget. Failing an interrupted stream wastes the tokens
// that its caller already has, and its remaining work was already admitted.
// Further interruptions use the budget: otherwise backend servers that interrupt
// every stream would get all of their load again as retries.
func (j *job) allowResumeOutsideBudget() bool {
	if j.resumedOutsideBudget || !j.resumable() || j.tokensDelivered == j.tokensBeforeAttempt {
		return false
	}
	j.resumedOutsideBudget = true
	return true
}

func (j *job) tier() policy.Tier { return policy.Tier(j.request.Class.Tier) }

// ticket builds the current attempt's ticket. A request that may have run skips
// admission control (Retry).
func (j *job) ticket() *wire.Ticket {
	r := j.request
	timeLimit, milestone := r.Class.Deadline()
	slack := timeLimit - time.Since(r.Arrived)
	return &wire.Ticket{
		RequestID:         r.ID,
		Attempt:           j.attempt,
		Class:             r.Class.Name,
		Tier:              r.Class.Tier,
		Customer:          r.Customer,
		SlackMS:           slack.Milliseconds(),
		DeadlineMilestone: milestone,
		Size:              r.EstimatedTokens,
		PrefixHash:        r.PrefixHash,
		Copies:            policy.Copies(j.tier()),
		Retry:             j.mayHaveRun,

		Preemptible: r.preemptible(),
		Serves:      r.Serves,
	}
}
