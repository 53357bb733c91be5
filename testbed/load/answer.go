package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxEvent bounds one line of a stream, in bytes.
const maxEvent = 1 << 20

// answerChunk is what is read of a chat.completion.chunk.
type answerChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// answerReader collects a streamed answer.
type answerReader struct {
	due    time.Time
	first  time.Time
	last   time.Time
	text   strings.Builder
	tokens int
}

// readAnswer reads a stream to its end and compares it with what the answer
// must be. An answer that is right counts as on time until its class's targets
// are looked at.
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
	return reader.broken("stream ended without its end mark")
}

// take reads one event; when it is a failure, take returns the result.
func (r *answerReader) take(data []byte) (Result, bool) {
	var chunk answerChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return r.broken("event is not JSON"), false
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
		result.Detail = "end mark after another answer"
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
