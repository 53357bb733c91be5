package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxEventBytes is the maximum length of one line of a stream.
const maxEvent = 1 << 20

// responseChunk holds the fields of a chat.completion.chunk that are read.
type answerChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// streamReader collects the text and the token times of a streamed response.
type answerReader struct {
	due    time.Time
	first  time.Time
	last   time.Time
	text   strings.Builder
	tokens int
}

// readStreamResponse reads a stream to its end and compares its text with want.
// A correct response gets OutcomeOnTime; the caller must compare its times with
// the targets of the class.
func readAnswer(body io.Reader, due time.Time, want string) Result {
	reader := answerReader{due: due}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return reader.finish(want)
		}
		if failed, ok := reader.take(data); !ok {
			return failed
		}
	}
	if err := lines.Err(); err != nil {
		return reader.broken("stream failed: " + err.Error())
	}
	return reader.broken("stream ended without [DONE]")
}

// handleEvent processes one event. If the event ends the response as a failure,
// it returns the result and false.
func (r *answerReader) take(data []byte) (Result, bool) {
	var chunk answerChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return r.broken("event is not valid JSON"), false
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		failed := r.broken("error event " + errorCode(data))
		if saysUnknown(data) {
			failed.Outcome = OutcomeUnknown
		}
		return failed, false
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
		r.token(chunk.Choices[0].Delta.Content)
	}
	return Result{}, true
}

func (r *answerReader) token(text string) {
	r.last = time.Now()
	if r.tokens == 0 {
		r.first = r.last
	}
	r.tokens++
	r.text.WriteString(text)
}

func (r *answerReader) finish(want string) Result {
	result := r.result(OutcomeOnTime)
	if r.text.String() != want {
		result.Outcome = OutcomeWrong
		result.Detail = "[DONE] after a text that is not the expected response"
	}
	return result
}

func (r *answerReader) broken(detail string) Result {
	result := r.result(OutcomeBroken)
	result.Detail = detail
	return result
}

func (r *answerReader) result(outcome Outcome) Result {
	result := Result{Outcome: outcome, Tokens: r.tokens, Completion: time.Since(r.due)}
	if r.tokens > 0 {
		result.FirstToken = r.first.Sub(r.due)
	}
	if r.tokens > 1 {
		result.BetweenTokens = r.last.Sub(r.first) / time.Duration(r.tokens-1)
	}
	return result
}
