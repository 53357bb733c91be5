package policy

import "testing"

func TestTierCount(t *testing.T) {
	if tierCount != 6 {
		t.Fatalf("%d tiers, want 6", tierCount)
	}
}
