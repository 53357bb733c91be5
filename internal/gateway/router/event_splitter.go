package router

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds the size of one event in bytes. No model sends longer ones, so a stream with
// a longer event counts as broken.
const maxEventBytes = 256 << 10

// eventSplitter splits a stream of server-sent events into complete events, so that what the caller
// has received always ends at an event boundary.
type eventSplitter struct {
	pending []byte
}

// add appends bytes as they were read and returns all complete events that are not yet consumed.
// The result is valid until the next call of add or consume.
func (s *eventSplitter) add(p []byte) []byte {
	s.pending = append(s.pending, p...)
	end := lastEventEnd(s.pending)
	return s.pending[:end]
}

// consume removes n bytes that have been forwarded.
func (s *eventSplitter) consume(n int) {
	s.pending = s.pending[:copy(s.pending, s.pending[n:])]
}

// pendingBytes returns the number of bytes that are not yet consumed.
func (s *eventSplitter) pendingBytes() int { return len(s.pending) }

// lastEventEnd returns the offset at which the last complete event ends, or 0 if there is none. An
// empty line ends an event.
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

// nextEvent splits off the first event. If none is complete, the event is all of p.
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

// eventID returns the ID of an event. It reports false if the event has no numeric ID.
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

// isComment reports whether an event consists of comment lines only, which callers ignore.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
