// Package claim keeps work that must not be repeated from running twice. An
// entry claims a customer's idempotency key in the table service before it
// takes up the first grant, so that the same call through another entry finds
// the claim. Start reading at Claimer.
//
// # Life of a claim
//
//	claimed ──Grant──▶ granted ──Finish──▶ finished
//	   │                  │
//	   └────Release───────┴──▶ released, the key may be claimed again
//
// A claim without a grant never had its body sent, and every step is a
// compare-and-set on the step before. So a claim in StateClaimed may be taken
// over at any time: its owner's Grant then fails and it sends nothing. A claim
// in StateGranted may be taken over only after the agent has voided the grant.
//
// # Answers
//
// The answer of finished work is kept beside the claim, up to MaxAnswer, so
// that a repeat of the call gets the same answer. It lives in the table
// service and not in the object store for two reasons: claim and answer are
// written in one transaction, so that a finished claim never promises an
// answer that isn't there, and the object store has no call that removes, so
// that answers would pile up without bound. Of a longer answer the claim says
// that the work ran and that its answer is gone.
//
// # Retention
//
// A claim is removed Retention and ClockMargin after its last attempt began,
// by the writer's wall clock against the sweeper's. The promise is Retention,
// as long as two VMs' clocks differ by less than ClockMargin.
package claim

import "time"

// Bounds of claims.
const (
	// Retention is how long a claim guards its key. A day covers a caller
	// that comes back after a night.
	Retention = 24 * time.Hour
	// ClockMargin is how far the wall clocks of two VMs may differ without
	// shortening Retention.
	ClockMargin = 10 * time.Minute
	// MaxAnswer is the longest answer that is kept, in bytes.
	MaxAnswer = 64 << 10
)

// State says how far the claimed work has come.
type State string

// States of a claim.
const (
	// StateClaimed: no grant was taken up; nothing was sent.
	StateClaimed State = "claimed"
	// StateGranted: a grant was taken up; the work may have been sent.
	StateGranted State = "granted"
	// StateFinished: the work ran and ended.
	StateFinished State = "finished"
	// StateReleased: the work was certainly not run.
	StateReleased State = "released"
)

// Claim is what is known of one idempotency key.
type Claim struct {
	// Attempt identifies the attempt that owns the claim.
	Attempt string
	// Fingerprint identifies the request that the key stands for.
	Fingerprint string
	State       State
	// Mine says that this call made the claim, or that its attempt owned it
	// already; otherwise somebody else's was found.
	Mine bool
	// Agent and Grant say what was taken up, from StateGranted on.
	Agent string
	Grant string
	// Outcome is set in StateFinished; its Answer is read by Claimer.Answer.
	Outcome Outcome
	// Began is when the attempt began, by its entry's wall clock.
	Began time.Time

	// row is the key of the claim's row, write the id of the row's latest
	// write and version the row's version.
	row     string
	write   string
	version uint64
}
