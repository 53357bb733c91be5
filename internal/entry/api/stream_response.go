package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/wire"
)

// streamResponse streams the chunks to the caller as server-sent events. The chunks of a
// resumed run get the ID and creation time of the first one, and its repeated role chunk
// is dropped, so that the caller sees a single run.
type streamResponse struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	id           string
	includeUsage bool
	created      int64
	headerSent   bool
}

func newStreamResponse(w http.ResponseWriter, id string, includeUsage bool) *streamResponse {
	return &streamResponse{w: w, control: http.NewResponseController(w), id: "chatcmpl-" + id, includeUsage: includeUsage}
}

func (s *streamResponse) started() bool { return s.headerSent }

// WriteFrame forwards one chunk. It returns dispatch.ErrInvalidChunk for one that can't be
// decoded.
func (s *streamResponse) WriteFrame(f wire.Frame) error {
	c, err := decodeChunk(f.Data)
	if err != nil {
		return err
	}
	if s.headerSent && c.isRoleOnly() {
		return nil
	}
	if c.isUsageOnly() && !s.includeUsage {
		return nil
	}
	if s.created == 0 {
		s.created = c.created
	}
	// All other fields are the server's.
	id, err := json.Marshal(s.id)
	if err != nil {
		return errors.Wrap(err, "encode ID")
	}
	c.fields["id"], c.fields["created"] = id, strconv.AppendInt(nil, s.created, 10)
	return s.sendJSON(c.fields)
}

func (s *streamResponse) sendJSON(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return s.sendEvent(data)
}

func (s *streamResponse) sendEvent(data []byte) error {
	s.sendHeader()
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

func (s *streamResponse) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// finish sends the [DONE] event, which marks the response as complete.
func (s *streamResponse) finish() { _ = s.sendEvent([]byte("[DONE]")) }

// fail sends the error as the last event, without the [DONE] event.
func (s *streamResponse) fail(e apiError) { _ = s.sendJSON(e.body()) }

var _ dispatch.Sink = (*streamResponse)(nil)
