package matrix

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/history"
)

// Framing of a stream of server-sent events.
const (
	ssePrefix     = "data: "
	sseDone       = "[DONE]"
	maxEventBytes = 1 << 20
)

// errTruncated reports a stream that ended without an end marker or an error event.
var errTruncated = errors.New("stream ended without its end marker")

// event is one event of a stream, a complete response, or an error body.
type event struct {
	Choices []choice     `json:"choices"`
	Error   *errorDetail `json:"error"`
}

type choice struct {
	Delta   messageText `json:"delta"`
	Message messageText `json:"message"`
}

type messageText struct {
	Content string `json:"content"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// readStream reads the events of a streamed response into call.
func readStream(response *http.Response, call *history.Call) error {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	var text strings.Builder
	defer func() { call.Text = text.String() }()
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), ssePrefix)
		if !ok {
			continue
		}
		if data == sseDone {
			call.Outcome = history.OutcomeComplete
			return nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return errors.Wrap(err, "decode event")
		}
		if e.Error != nil {
			call.Outcome, call.Code, call.Detail = outcomeOfCode(e.Error.Code), e.Error.Code, e.Error.Message
			return nil
		}
		for _, choice := range e.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read stream")
	}
	return errTruncated
}

// readComplete reads a response that is not streamed into call.
func readComplete(response *http.Response, call *history.Call) error {
	var e event
	if err := json.NewDecoder(response.Body).Decode(&e); err != nil {
		return errors.Wrap(err, "decode response")
	}
	if len(e.Choices) != 1 {
		return errors.Errorf("response has %d choices, want 1", len(e.Choices))
	}
	call.Text, call.Outcome = e.Choices[0].Message.Content, history.OutcomeComplete
	return nil
}

// readErrorResponse reads a response with an error status into call.
func readErrorResponse(response *http.Response, call *history.Call) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	if err != nil {
		return errors.Wrap(err, "read error response")
	}
	var e event
	if err := json.Unmarshal(body, &e); err != nil || e.Error == nil {
		return errors.Errorf("status %d without an error body: %q", response.StatusCode, body)
	}
	call.Code, call.Detail = e.Error.Code, e.Error.Message
	if response.StatusCode == http.StatusTooManyRequests {
		call.Code = history.CodeOverloaded
	}
	call.Outcome = outcomeOfCode(response.Header.Get(headerOutcome))
	if seconds, err := strconv.Atoi(response.Header.Get(headerRetryAfter)); err == nil {
		call.RetryAfter = time.Duration(seconds) * time.Second
	}
	return nil
}

// outcomeOfCode maps an outcome or error code to the outcome that the caller
// sees. Every code other than "not run" and "unknown" is a visible failure.
func outcomeOfCode(code string) history.Outcome {
	switch code {
	case string(history.OutcomeNotRun):
		return history.OutcomeNotRun
	case string(history.OutcomeUnknown):
		return history.OutcomeUnknown
	}
	return history.OutcomeFailed
}
