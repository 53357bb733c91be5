package policy

import "testing"

func TestOutcomeString(t *testing.T) {
	want := map[Outcome]string{
		OutcomeComplete: "whole", OutcomeFailed: "failed", OutcomeCancelled: "cancelled", OutcomeLapsed: "lapsed",
		0: "unknown outcome 0",
	}
	for o, name := range want {
		if o.String() != name {
			t.Errorf("%d: %q, want %q", int(o), o, name)
		}
	}
}
