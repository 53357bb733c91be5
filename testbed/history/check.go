package history

import "fmt"

// Guarantee is the number of a guarantee that must always hold.
type Guarantee int

// Guarantees, in the order of the project's list.
const (
	// GuaranteeTopTier: top-tier work is not refused or cancelled while
	// lower-tier work of the same model or service is admitted.
	GuaranteeTopTier Guarantee = iota + 1
	// GuaranteeServed: every call ends, and every class is served again once
	// all faults have ended.
	GuaranteeServed
	// GuaranteeComplete: a complete response is the one to the caller's own
	// request, and a failure is visible and contains no foreign data.
	GuaranteeComplete
	// GuaranteeNotRun: a request reported as not run did not run.
	GuaranteeNotRun
	// GuaranteeAtMostOnce: work that is not repeatable runs at most once, and
	// "unknown" is reported only when something failed.
	GuaranteeAtMostOnce
	// GuaranteeDraining: a draining backend server gets no new work after a time limit.
	GuaranteeDraining
	// GuaranteeStop: a planned stop interrupts no call.
	GuaranteeStop
	// GuaranteeTargets: an accepted change of targets is in force within its
	// time limit and is never reverted.
	GuaranteeTargets
	// GuaranteeLease: no process acts on a lease that it no longer holds. Other
	// guarantees depend on this; it is not in the project's list.
	GuaranteeLease
)

// Violation describes one case in which a guarantee was broken.
type Violation struct {
	Guarantee Guarantee `json:"point"`
	// Subject identifies the call, run or process concerned.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

func (v Violation) String() string {
	return fmt.Sprintf("guarantee %d: %s: %s", v.Guarantee, v.Subject, v.Detail)
}

// Check returns all violations in a history; nil if every guarantee was kept.
func Check(h History) []Violation {
	x := newIndexedHistory(h)
	var all []Violation
	for _, check := range []func(*indexedHistory) []Violation{
		checkTopTier,
		checkServed,
		checkMaxDuration,
		checkComplete,
		checkNotRun,
		checkAtMostOnce,
		checkUnknown,
		checkDraining,
		checkStops,
		checkVersions,
		checkChanges,
		checkFencingTokens,
	} {
		all = append(all, check(x)...)
	}
	return all
}
