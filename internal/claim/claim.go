// Package claim prevents work with an idempotency key from running twice. An entry
// claims a customer's idempotency key in the table service before it uses the first
// grant, so that a repeated call through another entry finds the claim. Start reading
// at Claimer.
//
// # States of a claim
//
//	claimed ──Grant──▶ granted ──Finish──▶ finished
//	   │                  │
//	   └────Release───────┴──▶ released, the key may be claimed again
//
// The request body is sent only after a grant is recorded, and every transition is a
// compare-and-set on the previous one. A claim in StateClaimed can therefore be taken
// over at any time: the Grant of its former owner then fails, and that owner sends
// nothing. A claim in StateGranted may be taken over only after the agent has voided
// the grant.
//
// # Responses
//
// The response of finished work, up to MaxResponseBytes, is stored with the claim, so
// that a repeated call gets the same response. It is in the table service and not in
// the object store for two reasons. Claim and response are written in one transaction,
// so a finished claim never refers to a response that does not exist. And the object
// store has no delete operation, so responses would accumulate without bound. For a
// longer response the claim records only that the work ran and that the response is
// not stored.
//
// # Retention
//
// The Sweeper removes a claim when Retention plus MaxClockSkew have passed since its
// last attempt started. The start is read from the wall clock of the writer and
// compared with that of the sweeping VM, so Retention is guaranteed as long as the
// clocks of the two VMs differ by less than MaxClockSkew.
package claim

import "time"

// Limits of claims.
const (
	// Retention is how long a claim protects its key. A day covers a caller that
	// retries after a night.
	Retention = 24 * time.Hour
	// MaxClockSkew is the largest difference between the wall clocks of two VMs
	// that does not shorten Retention.
	MaxClockSkew = 10 * time.Minute
	// MaxResponseBytes is the size of the largest response that is stored.
	MaxResponseBytes = 64 << 10
)

// State is the progress of the claimed work. The zero value means that no claim exists.
type State string

// States of a claim.
const (
	// StateClaimed means that no grant was recorded and nothing was sent.
	StateClaimed State = "claimed"
	// StateGranted means that a grant was recorded; the request may have been sent.
	StateGranted State = "granted"
	// StateFinished means that the work ran and ended.
	StateFinished State = "finished"
	// StateReleased means that the work was not run and the key may be claimed again.
	StateReleased State = "released"
)

// Claim is the state of one idempotency key, as read or written by a Claimer.
type Claim struct {
	// Attempt identifies the attempt that owns the claim.
	Attempt string
	// Fingerprint identifies the request that the key was claimed for.
	Fingerprint string
	State       State
	// Owned reports that the attempt of the call that returned this Claim owns it.
	// Otherwise another attempt does.
	Owned bool
	// Agent and Grant are the name of the agent and the grant ID that Grant recorded; they
	// are set from StateGranted on.
	Agent string
	Grant string
	// Outcome is set in StateFinished. Claimer.Response reads the response.
	Outcome Outcome
	// StartedAt is when the attempt started, by the wall clock of its entry.
	StartedAt time.Time

	// rowKey is the key of the claim's row, writeID the ID of the latest write of the
	// row and version the row version.
	rowKey  string
	writeID string
	version uint64
}
