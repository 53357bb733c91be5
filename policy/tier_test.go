package policy

import "testing"

func TestSixTiers(t *testing.T) {
	if tierCount != 6 {
		t.Fatalf("tiers: got %d, want 6", tierCount)
	}
}
