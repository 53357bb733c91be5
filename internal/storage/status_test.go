package storage

import (
	"errors"
	"testing"
)

// Guards against a status that HTTP doesn't have that counts as a successful read, or as a write that was
// done.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	for _, status := range []int{0, 20, 99, 100, 101, 199, 600, 999} {
		if err := readStatus(status); !errors.Is(err, ErrUnavailable) {
			t.Errorf("read with status %d: got %v, want ErrUnavailable", status, err)
		}
		if err := writeStatus(status); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("write with status %d: got %v, want ErrOutcomeUnknown", status, err)
		}
	}
	for _, status := range []int{200, 201, 204, 299} {
		if readErr, writeErr := readStatus(status), writeStatus(status); readErr != nil || writeErr != nil {
			t.Errorf("status %d: got %v and %v, want success", status, readErr, writeErr)
		}
	}
}
