package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/wire"
)

// streamAnswer sends the answer as server-sent events, as it comes. The
// chunks of a resumed answer look like those of one run: one id, one opening.
type streamAnswer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	usage   bool
	created int64
	opened  bool
}

func newStreamAnswer(w http.ResponseWriter, id string, usage bool) *streamAnswer {
	return &streamAnswer{w: w, control: http.NewResponseController(w), id: "chatcmpl-" + id, usage: usage}
}

func (s *streamAnswer) begun() bool { return s.opened }

// Frame passes one chunk on.
func (s *streamAnswer) Frame(f wire.Frame) error {
	var c chunk
	if err := json.Unmarshal(f.Data, &c); err != nil {
		return errors.Wrap(err, "decode chunk")
	}
	if s.opened && c.opensOnly() {
		return nil
	}
	if c.usageOnly() && !s.usage {
		return nil
	}
	if s.created == 0 {
		s.created = c.Created
	}
	c.ID = s.id
	c.Created = s.created
	return s.event(c)
}

func (s *streamAnswer) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return s.send(data)
}

func (s *streamAnswer) send(data []byte) error {
	s.open()
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return errors.Wrap(err, "write event")
	}
	if err := s.control.Flush(); err != nil {
		return errors.Wrap(err, "flush event")
	}
	return nil
}

func (s *streamAnswer) open() {
	if s.opened {
		return
	}
	s.opened = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamAnswer) finish() { _ = s.send([]byte("[DONE]")) }

// fail sends the error as the last event, without the end mark.
func (s *streamAnswer) fail(p problem) { _ = s.event(p.body()) }

var _ dispatch.Sink = (*streamAnswer)(nil)
