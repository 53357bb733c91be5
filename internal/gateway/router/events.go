package router

import (
	"bytes"
	"strconv"
)

// maxEvent bounds one event in bytes; a longer one is no event of a model.
const maxEvent = 256 << 10

// events cuts a stream of server-sent events into whole events, so that what a
// caller got always ends between two of them.
type events struct {
	pending []byte
}

// add takes bytes as they came and returns the whole events among them. The
// result is valid until the next call.
func (e *events) add(p []byte) []byte {
	e.pending = append(e.pending, p...)
	end := lastEnd(e.pending)
	return e.pending[:end]
}

// taken drops n bytes that have been passed on.
func (e *events) taken(n int) {
	e.pending = e.pending[:copy(e.pending, e.pending[n:])]
}

// rest counts the bytes of an event that isn't whole yet.
func (e *events) rest() int { return len(e.pending) }

// lastEnd is the end of the last whole event: after an empty line.
func lastEnd(p []byte) int {
	end := 0
	if at := bytes.LastIndex(p, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(p, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+4)
	}
	return end
}

// nextEvent cuts the first whole event off.
func nextEvent(p []byte) (event, rest []byte) {
	end := len(p)
	if at := bytes.Index(p, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.Index(p, []byte("\r\n\r\n")); at >= 0 {
		end = min(end, at+4)
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
