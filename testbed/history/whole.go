package history

import (
	"fmt"
	"strings"
)

// shownLength bounds how much of a wrong answer a violation quotes.
const shownLength = 60

// checkWhole looks for answers with an end mark that are not the expected
// ones, and for broken answers that are not a beginning of them.
func checkWhole(h *indexed) []Violation {
	var found []Violation
	for _, call := range h.Calls {
		if call.Told == ToldWhole && call.Text != call.Expected {
			found = append(found, Violation{PointWhole, call.Marker, "whole answer is wrong: " + difference(call)})
		}
		if call.Told != ToldWhole && !strings.HasPrefix(call.Expected, call.Text) {
			found = append(found, Violation{PointWhole, call.Marker, "part of an answer is wrong: " + difference(call)})
		}
		if call.Told == ToldWhole && len(h.runsOf(call.Marker)) == 0 {
			found = append(found, Violation{PointWhole, call.Marker, "answered without a run"})
		}
	}
	return found
}

func difference(call Call) string {
	at := 0
	for at < len(call.Text) && at < len(call.Expected) && call.Text[at] == call.Expected[at] {
		at++
	}
	return fmt.Sprintf("%d bytes of %d, differs at %d: %q", len(call.Text), len(call.Expected), at, excerpt(call.Text[at:]))
}

func excerpt(text string) string {
	if len(text) > shownLength {
		return text[:shownLength]
	}
	return text
}
