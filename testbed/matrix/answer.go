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

// Parts of a stream of server-sent events.
const (
	eventPrefix = "data: "
	eventDone   = "[DONE]"
	eventLimit  = 1 << 20
)

// errNoEnd: the answer broke off without an end mark or an error.
var errNoEnd = errors.New("answer ended without its end mark")

// event is one event of a stream, or an error's body.
type event struct {
	Choices []eventChoice `json:"choices"`
	Error   *errorDetail  `json:"error"`
}

type eventChoice struct {
	Delta   eventText `json:"delta"`
	Message eventText `json:"message"`
}

type eventText struct {
	Content string `json:"content"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// readStream reads the events of a streamed answer.
func readStream(response *http.Response, call *history.Call) error {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, eventLimit)
	var text strings.Builder
	defer func() { call.Text = text.String() }()
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), eventPrefix)
		if !ok {
			continue
		}
		if data == eventDone {
			call.Told = history.ToldWhole
			return nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return errors.Wrap(err, "event")
		}
		if e.Error != nil {
			call.Told, call.Code, call.Detail = toldByCode(e.Error.Code), e.Error.Code, e.Error.Message
			return nil
		}
		for _, choice := range e.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "stream")
	}
	return errNoEnd
}

// readWhole reads an answer that is not streamed.
func readWhole(response *http.Response, call *history.Call) error {
	var e event
	if err := json.NewDecoder(response.Body).Decode(&e); err != nil {
		return errors.Wrap(err, "answer")
	}
	if len(e.Choices) != 1 {
		return errors.Errorf("answer has %d choices", len(e.Choices))
	}
	call.Text, call.Told = e.Choices[0].Message.Content, history.ToldWhole
	return nil
}

// readRefusal reads an answer with an error's status.
func readRefusal(response *http.Response, call *history.Call) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, eventLimit))
	if err != nil {
		return errors.Wrap(err, "refusal")
	}
	var e event
	if err := json.Unmarshal(body, &e); err != nil || e.Error == nil {
		return errors.Errorf("status %d with no error body: %q", response.StatusCode, body)
	}
	call.Code, call.Detail = e.Error.Code, e.Error.Message
	if response.StatusCode == http.StatusTooManyRequests {
		call.Code = history.CodeOverloaded
	}
	call.Told = toldByCode(response.Header.Get(headerOutcome))
	if seconds, err := strconv.Atoi(response.Header.Get(headerRetryAfter)); err == nil {
		call.RetryAfter = time.Duration(seconds) * time.Second
	}
	return nil
}

// toldByCode reads an outcome; those that mean neither "not run" nor
// "unknown" are visible failures.
func toldByCode(code string) history.Told {
	switch code {
	case string(history.ToldNotRun):
		return history.ToldNotRun
	case string(history.ToldUnknown):
		return history.ToldUnknown
	}
	return history.ToldFailed
}
