package testbed

import (
	"testing"

	"github.com/applepier/applepier/internal/timeline"
)

func TestStampOrder(t *testing.T) {
	if !(timeline.Timestamp{Wall: 1}).Before(timeline.Timestamp{Wall: 1, Logical: 1}) {
		t.Fatal("a stamp with a higher logical part must come later")
	}
}
