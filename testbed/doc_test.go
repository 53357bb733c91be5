package testbed

import (
	"testing"

	"github.com/applepier/applepier/internal/timeline"
)

// TestTimestampOrder guards against an order of timestamps that ignores the logical part
// when the wall times are equal.
func TestTimestampOrder(t *testing.T) {
	if !(timeline.Timestamp{Wall: 1}).Before(timeline.Timestamp{Wall: 1, Logical: 1}) {
		t.Fatal("a timestamp with a higher logical part must be later")
	}
}
