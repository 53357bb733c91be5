package router

import (
	"bytes"
	"strconv"
)

// maxEvent bounds one event in bytes; a longer one is no event of a model.
const maxEventBytes = 256 << 10

// events cuts a stream of server-sent events into whole events, so that what a
// caller got always ends between two of them.
type eventSplitter struct {
	pending []byte
}

// add takes bytes as they came and returns the whole events among them. The
// result is valid until the next call.
func (s *eventSplitter) add(p []byte) []byte {
	s.pending = append(s.pending, p...)
	end := lastEventEnd(s.pending)
	return s.pending[:end]
}

// taken drops n bytes that have been passed on.
func (s *eventSplitter) consume(n int) {
	s.pending = s.pending[:copy(s.pending, s.pending[n:])]
}

// rest counts the bytes of an event that isn't whole yet.
func (s *eventSplitter) pendingBytes() int { return len(s.pending) }

// lastEnd is the end of the last whole event: after an empty line.
func lastEventEnd(p []byte) int {
	end := 0
	if index := bytes.LastIndex(p, []byte("\n\n")); index >= 0 {
		end = index + 2
	}
	if index := bytes.LastIndex(p, []byte("\r\n\r\n")); index >= 0 {
		end = max(end, index+4)
	}
	return end
}

// nextEvent cuts the first whole event off.
func nextEvent(p []byte) (event, rest []byte) {
	end := len(p)
	if index := bytes.Index(p, []byte("\n\n")); index >= 0 {
		end = index + 2
	}
	if index := bytes.Index(p, []byte("\r\n\r\n")); index >= 0 {
		end = min(end, index+4)
	}
	return p[:end], p[end:]
}

// eventID reads the id of an event; false when it has none that is a number.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// isComment reports whether an event has nothing but comments, which callers
// pass over.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
