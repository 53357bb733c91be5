package router

import (
	"bytes"
	"strings"
	"testing"
)

// lineEnds are those that server-sent events may have.
var lineEnds = map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"}

// splitEvents adds a stream in two reads and returns the events that are complete after each, and the
// number of bytes that belong to none.
func splitEvents(first, second string) (events []string, pending int) {
	var s eventSplitter
	for _, read := range []string{first, second} {
		complete := bytes.Clone(s.add([]byte(read)))
		s.consume(len(complete))
		for len(complete) > 0 {
			var event []byte
			event, complete = nextEvent(complete)
			events = append(events, string(event))
		}
	}
	return events, s.pendingBytes()
}

// Guards against events that are delayed, joined or cut because of how their lines end or where a
// read ends.
func TestEventsEndAtEmptyLines(t *testing.T) {
	const stream = ": wait\n\nid: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n"
	for name, lineEnd := range lineEnds {
		t.Run(name, func(t *testing.T) {
			all := strings.ReplaceAll(stream, "\n", lineEnd)
			for cut := range len(all) + 1 {
				events, pending := splitEvents(all[:cut], all[cut:])
				if got := strings.Join(events, ""); got != all || pending != 0 {
					t.Fatalf("read of %d bytes, then the rest: %q, %d bytes left; want %q", cut, got, pending, all)
				}
				var ids []string
				for _, event := range events {
					if id, ok := eventID([]byte(event)); ok {
						ids = append(ids, string(id))
					} else if !isComment([]byte(event)) {
						t.Fatalf("read of %d bytes, then the rest: %q is neither a comment nor has it an ID", cut, event)
					}
				}
				if len(ids) != 2 || ids[0] != "1" || ids[1] != "2" {
					t.Fatalf("read of %d bytes, then the rest: events %v, want 1 and 2", cut, ids)
				}
			}
		})
	}
}

// Guards against an event that is forwarded before it is complete, or later than that.
func TestEventIsCompleteAtItsEmptyLine(t *testing.T) {
	for name, lineEnd := range lineEnds {
		t.Run(name, func(t *testing.T) {
			lines := "data: a" + lineEnd + "data: b" + lineEnd
			var s eventSplitter
			if events := s.add([]byte(lines)); len(events) > 0 {
				t.Fatalf("%q before the empty line", events)
			}
			for i := range lineEnd[1:] {
				if events := s.add([]byte{lineEnd[i]}); len(events) > 0 {
					t.Fatalf("%q within the end of the empty line", events)
				}
			}
			if events := s.add([]byte(lineEnd[len(lineEnd)-1:])); string(events) != lines+lineEnd {
				t.Fatalf("%q at the empty line, want all", events)
			}
		})
	}
}

// FuzzEventSplitter checks that where reads end changes nothing: all bytes are passed on in their order,
// each complete event at once.
func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: 2\r\rdata: a\r\n\r\n"), 7)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		cut = max(0, min(cut, len(stream)))
		whole, wholeLeft := splitEvents(string(stream), "")
		parts, partsLeft := splitEvents(string(stream[:cut]), string(stream[cut:]))
		if wholeLeft != partsLeft || strings.Join(whole, "") != strings.Join(parts, "") {
			t.Fatalf("%q cut at %d: %q, %d left; uncut: %q, %d left", stream, cut, parts, partsLeft, whole, wholeLeft)
		}
	})
}
