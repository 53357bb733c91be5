package load

import (
	"bytes"
	"io"
	"time"
)

// maxServiceAnswer bounds what is read of a plain service's answer, in bytes.
const maxServiceAnswer = 1 << 20

// readServiceAnswer reads a plain service's answer to its end and compares it
// with what it must be. Its first byte counts as the first token.
func readServiceAnswer(body io.Reader, due time.Time, want string) Result {
	var text bytes.Buffer
	first := make([]byte, 1)
	if _, err := io.ReadFull(body, first); err != nil {
		return Result{Outcome: OutcomeBroken, Detail: "answer is empty"}
	}
	firstByte := time.Since(due)
	text.Write(first)
	if _, err := io.Copy(&text, io.LimitReader(body, maxServiceAnswer)); err != nil {
		return Result{Outcome: OutcomeBroken, Detail: "answer was cut"}
	}
	result := Result{Outcome: OutcomeOnTime, FirstToken: firstByte, Completion: time.Since(due)}
	if text.String() != want {
		result.Outcome = OutcomeWrong
		result.Detail = "another answer"
	}
	return result
}
