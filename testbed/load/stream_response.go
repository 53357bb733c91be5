package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxEventBytes is the maximum length of one line of a stream, in bytes.
const maxEventBytes = 1 << 20

// responseChunk holds the fields of a chat.completion.chunk that are read.
type responseChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// streamReader collects the text and the token times of a streamed response.
type streamReader struct {
	scheduledAt  time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	text         strings.Builder
	tokens       int
}

// readStreamResponse reads a stream to its end and compares its text with want.
// A correct response gets OutcomeOnTime; the caller must compare its times with
// the targets of the class.
func readStreamResponse(body io.Reader, scheduledAt time.Time, want string) Result {
	reader := streamReader{scheduledAt: scheduledAt}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return reader.finish(want)
		}
		if failure, ok := reader.handleEvent(data); !ok {
			return failure
		}
	}
	if err := lines.Err(); err != nil {
		return reader.failure("stream failed: " + err.Error())
	}
	return reader.failure("stream ended without [DONE]")
}

// handleEvent processes one event. If the event ends the response as a failure,
// it returns the result and false.
func (r *streamReader) handleEvent(data []byte) (Result, bool) {
	var chunk responseChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return r.failure("event is not valid JSON"), false
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		failure := r.failure("error event " + errorCode(data))
		if isOutcomeUnknown(data) {
			failure.Outcome = OutcomeUnknown
		}
		return failure, false
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
		r.addToken(chunk.Choices[0].Delta.Content)
	}
	return Result{}, true
}

func (r *streamReader) addToken(text string) {
	r.lastTokenAt = time.Now()
	if r.tokens == 0 {
		r.firstTokenAt = r.lastTokenAt
	}
	r.tokens++
	r.text.WriteString(text)
}

func (r *streamReader) finish(want string) Result {
	result := r.result(OutcomeOnTime)
	if r.text.String() != want {
		result.Outcome = OutcomeWrong
		result.Detail = "[DONE] after a text that is not the expected response"
	}
	return result
}

func (r *streamReader) failure(detail string) Result {
	result := r.result(OutcomeBroken)
	result.Detail = detail
	return result
}

func (r *streamReader) result(outcome Outcome) Result {
	result := Result{Outcome: outcome, Tokens: r.tokens, Completion: time.Since(r.scheduledAt)}
	if r.tokens > 0 {
		result.FirstToken = r.firstTokenAt.Sub(r.scheduledAt)
	}
	if r.tokens > 1 {
		result.BetweenTokens = r.lastTokenAt.Sub(r.firstTokenAt) / time.Duration(r.tokens-1)
	}
	return result
}
