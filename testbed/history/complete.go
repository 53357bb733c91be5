package history

import (
	"fmt"
	"strings"
)

// maxExcerptBytes bounds the excerpt of a wrong response in a violation.
const maxExcerptBytes = 60

// checkComplete reports complete responses that differ from the expected ones or had
// no run, and incomplete ones that are not a prefix of the expected response.
func checkComplete(h *indexedHistory) []Violation {
	var found []Violation
	for _, call := range h.Calls {
		if call.Outcome == OutcomeComplete && call.Text != call.Expected {
			found = append(found, Violation{GuaranteeComplete, call.Marker, "complete response is wrong: " + difference(call)})
		}
		if call.Outcome != OutcomeComplete && !strings.HasPrefix(call.Expected, call.Text) {
			found = append(found, Violation{GuaranteeComplete, call.Marker, "partial response is wrong: " + difference(call)})
		}
		if call.Outcome == OutcomeComplete && len(h.runsOf(call.Marker)) == 0 {
			found = append(found, Violation{GuaranteeComplete, call.Marker, "response without a run"})
		}
	}
	return found
}

// difference describes the lengths of the received and the expected response and the first byte
// that differs.
func difference(call Call) string {
	offset := 0
	for offset < len(call.Text) && offset < len(call.Expected) && call.Text[offset] == call.Expected[offset] {
		offset++
	}
	return fmt.Sprintf("%d bytes of %d, differs at %d: %q", len(call.Text), len(call.Expected), offset, excerpt(call.Text[offset:]))
}

func excerpt(text string) string {
	if len(text) > maxExcerptBytes {
		return text[:maxExcerptBytes]
	}
	return text
}
