package router

import (
	"bytes"
	"iter"
)

// maxEventBytes bounds the size of one event in bytes. No model sends longer ones, so a stream with
// a longer event counts as broken.
const maxEventBytes = 256 << 10

// eventSplitter splits a stream of server-sent events into complete events, so that what the caller
// has received always ends at an event boundary. Lines end with LF, CR or CRLF, and an empty line
// ends an event.
type eventSplitter struct {
	// pending holds the bytes that are not yet consumed.
	pending []byte
	// scanned is how many of them were looked at, and complete how many belong to complete events.
	scanned, complete int
	// inLine is set within a line that has other bytes than its end, and emptyLine if the last line
	// that ended was empty.
	inLine, emptyLine bool
	// afterCR is set if the last byte looked at was a CR. An LF after it ends the same line.
	afterCR bool
	// usesCRLF is set if the line before ended with CRLF. Then an empty line's CR alone doesn't end
	// the event: some callers look for the LF.
	usesCRLF bool
}

// add appends bytes as they were read and returns all complete events that are not yet consumed.
// The result is valid until the next call of add or consume.
func (s *eventSplitter) add(p []byte) []byte {
	s.pending = append(s.pending, p...)
	for ; s.scanned < len(s.pending); s.scanned++ {
		s.scan(s.pending[s.scanned])
	}
	return s.pending[:s.complete]
}

// scan looks at the byte at s.scanned.
func (s *eventSplitter) scan(b byte) {
	afterCR := s.afterCR
	s.afterCR = b == '\r'
	if b == '\n' && afterCR {
		s.usesCRLF = true
		if s.emptyLine {
			s.complete = s.scanned + 1
		}
		return
	}
	if afterCR {
		s.usesCRLF = false
	}
	if b != '\n' && b != '\r' {
		s.inLine = true
		return
	}
	s.emptyLine, s.inLine = !s.inLine, false
	if s.emptyLine && !(b == '\r' && s.usesCRLF) {
		s.complete = s.scanned + 1
	}
}

// consume removes n bytes that have been forwarded.
func (s *eventSplitter) consume(n int) {
	s.pending = s.pending[:copy(s.pending, s.pending[n:])]
	s.scanned -= n
	s.complete -= n
}

// bufferSize returns the size of the buffer in bytes.
func (s *eventSplitter) bufferSize() int { return cap(s.pending) }

// pendingBytes returns the number of bytes that are not yet consumed.
func (s *eventSplitter) pendingBytes() int { return len(s.pending) }

// nextEvent splits off the first event. If none is complete, the event is all of p.
func nextEvent(p []byte) (event, rest []byte) {
	var s eventSplitter
	for s.scanned < len(p) && s.complete == 0 {
		s.scan(p[s.scanned])
		s.scanned++
	}
	end := s.scanned
	if s.afterCR && end < len(p) && p[end] == '\n' {
		end++
	}
	return p[:end], p[end:]
}

// eventLines returns the lines of an event that are not empty.
func eventLines(event []byte) iter.Seq[[]byte] {
	return bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\n' || r == '\r' })
}

// eventID returns the ID of an event. It reports false if the event has no numeric ID.
func eventID(event []byte) (numericID, bool) {
	for line := range eventLines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return parseNumericID(bytes.TrimSpace(value))
		}
	}
	return nil, false
}

// isComment reports whether events consist of comment lines only, which callers ignore. Servers send
// them to keep a connection open.
func isComment(events []byte) bool {
	for line := range eventLines(events) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
