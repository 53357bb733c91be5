package policy

import (
	"testing"
	"time"
)

func TestWaitBound(t *testing.T) {
	for _, c := range []struct {
		slots, classes int
		longest, want  time.Duration
	}{
		{8, 5, 20 * time.Second, 130 * time.Second},
		{16, 5, 20 * time.Second, 130 * time.Second},
		{4, 1, 4 * time.Second, 22 * time.Second},
	} {
		if got := WaitBound(c.slots, c.classes, c.longest); got != c.want {
			t.Errorf("WaitBound(%d, %d, %s) = %s, want %s", c.slots, c.classes, c.longest, got, c.want)
		}
	}
}
