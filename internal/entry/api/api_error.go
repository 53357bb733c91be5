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

// apiError is an error response in OpenAI's format.
type apiError struct {
	status     int
	code       string
	message    string
	param      string
	outcome    dispatch.Outcome
	retryAfter time.Duration
	// reason is why the request was not run, for the metrics. If it is empty, the metrics
	// use code.
	reason string
}

// metricsReason returns why the request was not run, for the metrics.
func (e apiError) metricsReason() string {
	if e.reason != "" {
		return e.reason
	}
	return e.code
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

func (e apiError) body() errorBody {
	detail := errorDetail{Message: e.message, Type: e.errorType(), Code: e.code}
	if e.param != "" {
		detail.Param = &e.param
	}
	return errorBody{Error: detail}
}

func (e apiError) errorType() string {
	if e.status < http.StatusInternalServerError && e.status != http.StatusTooManyRequests {
		return "invalid_request_error"
	}
	return "server_error"
}

// writeError sends e as the complete response.
func writeError(w http.ResponseWriter, e apiError) {
	data, err := json.Marshal(e.body())
	if err != nil {
		data = []byte(`{"error":{"message":"internal error","type":"server_error"}}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if e.outcome != "" {
		h.Set(HeaderOutcome, string(e.outcome))
	}
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(e.retryAfter)))
	}
	if e.retryAfter == 0 && (e.outcome == dispatch.Unknown || e.outcome == dispatch.Failed) {
		// Clients that honor this header, such as OpenAI's, then don't retry. With a
		// Retry-After, repeating the call is safe: it has an idempotency key.
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(e.status)
	_, _ = w.Write(data)
}

// retrySeconds rounds d up to whole seconds, as Retry-After requires (RFC 9110, 10.2.3).
// The result is at least 1.
func retrySeconds(d time.Duration) int {
	return max(1, int(math.Ceil(d.Seconds())))
}

func badRequestError(code, param, message string) apiError {
	return apiError{status: http.StatusBadRequest, code: code, param: param, message: message, outcome: dispatch.NotRun}
}

// minRetryAfter is the smallest Retry-After of requests that were not run, in the
// header's resolution.
const minRetryAfter = time.Second

// notRunError returns the error for a request that was certainly not run and may be
// retried after the given time.
func notRunError(reason string, retryAfter time.Duration) apiError {
	retryAfter = max(retryAfter, minRetryAfter)
	status := http.StatusServiceUnavailable
	if reason == "overload" || reason == "queue_full" {
		status = http.StatusTooManyRequests
	}
	return apiError{
		status:     status,
		code:       "not_run",
		message:    fmt.Sprintf("the request was not run (%s); come back in %d s", reason, retrySeconds(retryAfter)),
		outcome:    dispatch.NotRun,
		retryAfter: retryAfter,
		reason:     reason,
	}
}

// resultError returns the error for a dispatch result other than Completed, Rejected or
// Cancelled.
func resultError(r dispatch.Result) apiError {
	switch r.Outcome {
	case dispatch.NotRun:
		return notRunError(r.Reason, r.RetryAfter)
	case dispatch.Unknown:
		return apiError{
			status:  http.StatusGatewayTimeout,
			code:    "unknown",
			message: "the request may have run, in part or whole (" + r.Reason + "); it must not be repeated, so it was not sent again",
			outcome: dispatch.Unknown,
		}
	default:
		return apiError{
			status:  http.StatusBadGateway,
			code:    "failed",
			message: "the answer was cut off and could not be continued (" + r.Reason + ")",
			outcome: dispatch.Failed,
		}
	}
}
