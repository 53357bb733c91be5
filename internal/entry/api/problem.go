package api

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/applepier/applepier/internal/entry/dispatch"
)

// problem is an error as callers get it, in OpenAI's shape.
type problem struct {
	status     int
	code       string
	message    string
	param      string
	outcome    dispatch.Outcome
	retryAfter time.Duration
	// reason is why it was not run; empty where the code says it.
	reason string
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func (p problem) body() errorBody {
	detail := errorDetail{Message: p.message, Type: p.kind(), Code: p.code}
	if p.param != "" {
		detail.Param = &p.param
	}
	return errorBody{Error: detail}
}

func (p problem) kind() string {
	if p.status < http.StatusInternalServerError && p.status != http.StatusTooManyRequests {
		return "invalid_request_error"
	}
	return "server_error"
}

// writeError sends a problem as the whole answer.
func writeError(w http.ResponseWriter, p problem) {
	data, err := json.Marshal(p.body())
	if err != nil {
		data = []byte(`{"error":{"message":"internal error","type":"server_error"}}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if p.outcome != "" {
		h.Set(HeaderOutcome, string(p.outcome))
	}
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(p.retryAfter)))
	}
	if p.outcome == dispatch.Unknown || p.outcome == dispatch.Failed {
		// Well-behaved clients, OpenAI's among them, then don't send again.
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(data)
}

// retrySeconds rounds up: Retry-After has whole seconds (RFC 9110, 10.2.3).
func retrySeconds(d time.Duration) int {
	return max(1, int(math.Ceil(d.Seconds())))
}

func badRequest(code, param, message string) problem {
	return problem{status: http.StatusBadRequest, code: code, param: param, message: message, outcome: dispatch.NotRun}
}

// minRetryAfter is the least that Retry-After can state.
const minRetryAfter = time.Second

// notRun says that a request was certainly not run, and when to come back.
func notRun(reason string, after time.Duration) problem {
	after = max(after, minRetryAfter)
	status := http.StatusServiceUnavailable
	if reason == "overload" || reason == "queue_full" {
		status = http.StatusTooManyRequests
	}
	return problem{
		status:     status,
		code:       "not_run",
		message:    fmt.Sprintf("the request was not run (%s); come back in %d s", reason, retrySeconds(after)),
		outcome:    dispatch.NotRun,
		retryAfter: after,
		reason:     reason,
	}
}

// problemOf turns a result that is not whole into what the caller is told.
func problemOf(r dispatch.Result) problem {
	switch r.Outcome {
	case dispatch.NotRun:
		return notRun(r.Reason, r.RetryAfter)
	case dispatch.Unknown:
		return problem{
			status:  http.StatusGatewayTimeout,
			code:    "unknown",
			message: "the request may have run, in part or whole (" + r.Reason + "); it must not be repeated, so it was not sent again",
			outcome: dispatch.Unknown,
		}
	default:
		return problem{
			status:  http.StatusBadGateway,
			code:    "failed",
			message: "the answer was cut off and could not be continued (" + r.Reason + ")",
			outcome: dispatch.Failed,
		}
	}
}
