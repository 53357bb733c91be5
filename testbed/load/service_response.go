package load

import (
	"bytes"
	"io"
	"time"
)

// maxServiceResponseBytes limits how much of a plain service's response is read.
const maxServiceResponseBytes = 1 << 20

// readServiceResponse reads a plain service's response to its end and compares it
// with want. The time to its first byte is reported as FirstToken.
func readServiceResponse(body io.Reader, scheduledAt time.Time, want string) Result {
	var text bytes.Buffer
	first := make([]byte, 1)
	if _, err := io.ReadFull(body, first); err != nil {
		return Result{Outcome: OutcomeBroken, Detail: "response body is empty or was cut off before its first byte"}
	}
	firstByteLatency := time.Since(scheduledAt)
	text.Write(first)
	if _, err := io.Copy(&text, io.LimitReader(body, maxServiceResponseBytes)); err != nil {
		return Result{Outcome: OutcomeBroken, Detail: "response body was cut off"}
	}
	result := Result{Outcome: OutcomeOnTime, FirstToken: firstByteLatency, Completion: time.Since(scheduledAt)}
	if text.String() != want {
		result.Outcome = OutcomeWrong
		result.Detail = "not the expected response"
	}
	return result
}
