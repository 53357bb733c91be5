package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/plain"
)

const (
	// maxErrorBodyBytes limits how much of an error response's body is read.
	maxErrorBodyBytes = 64 << 10
	// maxIdleConnections is the maximum number of idle connections per entry.
	maxIdleConnections = 4096
)

// Request headers of the system's API.
const (
	headerClass    = "X-Applepier-Class"
	headerCustomer = "X-Applepier-Customer"
)

// servicePath is the path of calls of a plain service, below the service's own.
const servicePath = "/calls"

// errorCodeUnknown is the error code of requests that may have run.
const errorCodeUnknown = "unknown"

// requestSender sends requests to the entries round robin, as a load balancer
// would. It is safe for concurrent use.
type requestSender struct {
	scenario  Scenario
	entries   []string
	client    *http.Client
	nextEntry atomic.Uint64
}

func newRequestSender(scenario Scenario, entries []string) *requestSender {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	return &requestSender{scenario: scenario, entries: entries, client: &http.Client{Transport: transport}}
}

// send sends one request and classifies its response. All times are measured
// from scheduledAt, the time at which the request was due, so that a delay of the
// load generator itself is not hidden (coordinated omission).
func (s *requestSender) send(ctx context.Context, a arrival, body []byte, scheduledAt time.Time) Result {
	resp, err := s.post(ctx, a, body)
	if err != nil {
		return Result{Outcome: OutcomeBroken, Detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errorResult(resp)
	}
	result := s.readResponse(resp, a, body, scheduledAt)
	result.Status = resp.StatusCode
	if result.Outcome == OutcomeOnTime && !s.scenario.Mix.Classes[a.class].meetsTargets(result) {
		result.Outcome = OutcomeLate
	}
	return result
}

// readResponse reads a response to its end and compares it with the expected one.
func (s *requestSender) readResponse(resp *http.Response, a arrival, body []byte, scheduledAt time.Time) Result {
	if s.scenario.Mix.Classes[a.class].Service != "" {
		return readServiceResponse(resp.Body, scheduledAt, plain.Response(http.MethodPost, servicePath, body))
	}
	return readStreamResponse(resp.Body, scheduledAt, strings.Join(engine.ResponseTokens(body), ""))
}

func (s *requestSender) post(ctx context.Context, a arrival, body []byte) (*http.Response, error) {
	entry := s.entries[s.nextEntry.Add(1)%uint64(len(s.entries))]
	class := s.scenario.Mix.Classes[a.class]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+class.path(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	customer := s.scenario.Mix.Customers[a.customer]
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerClass, class.Name)
	req.Header.Set(headerCustomer, customer.Name)
	if customer.Key != "" {
		req.Header.Set("Authorization", "Bearer "+customer.Key)
	}
	return s.client.Do(req)
}

// errorResult classifies an error response. Only status 429 or 503 with a
// Retry-After in seconds counts as refused.
func errorResult(resp *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		body = nil
	}
	result := Result{Outcome: OutcomeBroken, Status: resp.StatusCode, Detail: "status " + strconv.Itoa(resp.StatusCode)}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	retryable := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	switch {
	case retryable && err == nil:
		result.Outcome = OutcomeRefused
		result.RetryAfter = time.Duration(seconds) * time.Second
	case isOutcomeUnknown(body):
		result.Outcome = OutcomeUnknown
	}
	return result
}

// apiError is an error response of the OpenAI API.
type apiError struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// errorCode returns the code of an error body, or "" if it has none.
func errorCode(body []byte) string {
	var decoded apiError
	if err := json.Unmarshal(body, &decoded); err != nil {
		return ""
	}
	return decoded.Error.Code
}

// isOutcomeUnknown reports whether an error body says that the request may have
// run.
func isOutcomeUnknown(body []byte) bool {
	return errorCode(body) == errorCodeUnknown
}
