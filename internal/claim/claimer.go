package claim

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/internal/storage"
)

// maxClaimTries bounds how often Claim tries a key that others claim and release
// concurrently.
const maxClaimTries = 4

// errContended is the cause of ErrUnavailable after maxClaimTries conflicts on a
// key.
var errContended = errors.New("key is being claimed and released concurrently")

// Claimer creates claims and performs their state transitions. It is safe for
// concurrent use; transitions of concurrent callers share transactions.
type Claimer struct {
	table     storage.Table
	committer committer
}

// NewClaimer returns a Claimer that stores claims in table. The caller must call Close.
func NewClaimer(table storage.Table) *Claimer {
	return &Claimer{table: table, committer: committer{table: table}}
}

// Close waits until the outcome of every queued transition is reported. The Claimer
// must not be used afterwards.
func (c *Claimer) Close() {
	c.committer.wait()
}

// Claim claims a customer's idempotency key for the request with the given fingerprint.
// The attempt ID must be unique. If the returned Claim is Owned, the caller may
// proceed; otherwise it is the claim of another attempt, with its State. Errors:
// ErrKeyReused, ErrUnavailable, ErrOutcomeUnknown, ErrCorrupt. After an error the caller
// must not send the request.
func (c *Claimer) Claim(ctx context.Context, customer, key, fingerprint, attempt string) (Claim, error) {
	claimKey := rowKey(customer, key)
	t := &transition{rowKey: claimKey, next: newRecord(fingerprint, attempt)}
	for range maxClaimTries {
		claim, err := c.advance(ctx, t)
		conflict, isConflict := errors.Into[*ConflictError](err)
		if !isConflict {
			return claim, err
		}
		switch current := conflict.Current; {
		case current.State == "":
			t = &transition{rowKey: claimKey, next: newRecord(fingerprint, attempt)}
		case current.Fingerprint != fingerprint:
			return current, ErrKeyReused
		case current.State == StateReleased:
			t = current.replacement(fingerprint, attempt)
		default:
			return current, nil
		}
	}
	return Claim{}, errors.Join(ErrUnavailable, errContended)
}

// Grant records the grant that the owner of the claim will use. It must succeed before
// the request body is sent. A later grant replaces one that was voided. Errors:
// ErrNotOwner, *ConflictError, ErrUnavailable, ErrOutcomeUnknown, ErrCorrupt.
func (c *Claimer) Grant(ctx context.Context, claim Claim, agent, grant string) (Claim, error) {
	if !claim.Owned {
		return claim, ErrNotOwner
	}
	t := claim.transition(StateGranted)
	t.next.Agent = agent
	t.next.Grant = grant
	return c.advance(ctx, t)
}

// Finish records that the work ran and how it ended, and stores its response if it has
// at most MaxResponseBytes. It returns the same errors as Grant. After an error the
// work has still run, and a repeated call may find the claim granted.
func (c *Claimer) Finish(ctx context.Context, claim Claim, outcome Outcome) (Claim, error) {
	if !claim.Owned {
		return claim, ErrNotOwner
	}
	t := claim.transition(StateFinished)
	t.response = outcome.Response
	t.next.Outcome = outcome
	t.next.Outcome.ResponseStored = outcome.Response != nil && len(outcome.Response) <= MaxResponseBytes
	t.next.Outcome.Response = nil
	return c.advance(ctx, t)
}

// Release records that the work was not run, so that the key may be claimed again. It
// returns the same errors as Grant.
//
// The row is not deleted: row versions would restart, and a delayed earlier write could
// then be applied to the next claim.
func (c *Claimer) Release(ctx context.Context, claim Claim) error {
	if !claim.Owned {
		return ErrNotOwner
	}
	_, err := c.advance(ctx, claim.transition(StateReleased))
	return err
}

// TakeOver makes attempt the owner of an unfinished claim of another attempt. In
// StateGranted it may be called only after the agent has voided the grant. Errors:
// ErrFinished, *ConflictError if the claim has changed since it was read,
// ErrUnavailable, ErrOutcomeUnknown, ErrCorrupt.
func (c *Claimer) TakeOver(ctx context.Context, claim Claim, attempt string) (Claim, error) {
	if claim.State == StateFinished {
		return claim, ErrFinished
	}
	return c.advance(ctx, claim.replacement(claim.Fingerprint, attempt))
}

// Response reads the stored response of a finished claim. Errors: ErrResponseNotStored,
// ErrUnavailable.
func (c *Claimer) Response(ctx context.Context, claim Claim) ([]byte, error) {
	if !claim.Outcome.ResponseStored {
		return nil, ErrResponseNotStored
	}
	row, err := c.table.Get(ctx, responseKey(claim.rowKey))
	if errors.Is(err, storage.ErrNotFound) {
		return nil, ErrResponseNotStored
	}
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	return row.Value, nil
}

// advance performs a transition and returns the resulting claim.
func (c *Claimer) advance(ctx context.Context, t *transition) (Claim, error) {
	r := c.committer.submit(ctx, t)
	if errors.Is(r.err, errConflict) {
		return Claim{}, &ConflictError{Current: r.current.claim(t.rowKey, r.version, t.next.Attempt)}
	}
	if r.err != nil {
		return Claim{}, r.err
	}
	return t.next.claim(t.rowKey, r.version, t.next.Attempt), nil
}

// newRecord returns the initial record of a claim by attempt.
func newRecord(fingerprint, attempt string) record {
	return record{
		WriteID:     uuid.NewString(),
		Attempt:     attempt,
		Fingerprint: fingerprint,
		State:       StateClaimed,
		StartedAt:   time.Now().UTC(),
	}
}

// transition returns the transition of the claim to state, for its owner.
func (c Claim) transition(state State) *transition {
	return &transition{rowKey: c.rowKey, expectedWriteID: c.writeID, version: c.version, next: record{
		WriteID:     uuid.NewString(),
		Attempt:     c.Attempt,
		Fingerprint: c.Fingerprint,
		State:       state,
		Agent:       c.Agent,
		Grant:       c.Grant,
		StartedAt:   c.StartedAt,
	}}
}

// replacement returns the transition that replaces the claim by one of another attempt.
func (c Claim) replacement(fingerprint, attempt string) *transition {
	return &transition{rowKey: c.rowKey, expectedWriteID: c.writeID, version: c.version, next: newRecord(fingerprint, attempt)}
}
