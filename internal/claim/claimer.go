package claim

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/internal/storage"
)

// maxClaimTries bounds how often Claim starts over on a key that others claim
// and release at the same time.
const maxClaimTries = 4

// errContended is the cause of ErrUnavailable when a key changes too fast.
var errContended = errors.New("key is claimed and released by others")

// Claimer makes claims and moves them on. It is safe for concurrent use; the
// steps of concurrent callers share transactions.
type Claimer struct {
	table     storage.Table
	committer committer
}

// NewClaimer returns a Claimer on the table service.
func NewClaimer(table storage.Table) *Claimer {
	return &Claimer{table: table, committer: committer{table: table}}
}

// Close waits for the writes under way. No call may follow.
func (c *Claimer) Close() {
	c.committer.wait()
}

// Claim claims a customer's idempotency key for the request with the given
// fingerprint. The attempt's id must be unique. Without an error, the Claim's
// Mine says whether the caller may go on; if not, the Claim is somebody
// else's and its State says how far that has come. Errors: ErrKeyReused,
// ErrUnavailable, ErrUnsettled, ErrCorrupt; after each of them the caller must
// not go on.
func (c *Claimer) Claim(ctx context.Context, customer, key, fingerprint, attempt string) (Claim, error) {
	row := rowKey(customer, key)
	s := &step{row: row, next: firstRecord(fingerprint, attempt)}
	for range maxClaimTries {
		claim, err := c.advance(ctx, s)
		lost, isLost := errors.Into[*LostError](err)
		if !isLost {
			return claim, err
		}
		switch found := lost.Current; {
		case found.State == "":
			s = &step{row: row, next: firstRecord(fingerprint, attempt)}
		case found.Fingerprint != fingerprint:
			return found, ErrKeyReused
		case found.State == StateReleased:
			s = found.replacement(fingerprint, attempt)
		default:
			return found, nil
		}
	}
	return Claim{}, errors.Join(ErrUnavailable, errContended)
}

// Grant records which grant the claim's owner takes up. It must return without
// an error before the body is sent. A later grant replaces one that was
// voided. Errors: ErrNotMine, LostError, ErrUnavailable, ErrUnsettled.
func (c *Claimer) Grant(ctx context.Context, claim Claim, agent, grant string) (Claim, error) {
	if !claim.Mine {
		return claim, ErrNotMine
	}
	s := claim.step(StateGranted)
	s.next.Agent = agent
	s.next.Grant = grant
	return c.advance(ctx, s)
}

// Finish records that the work ran and how it ended, and keeps its answer if
// it is no longer than MaxAnswer. Errors as for Grant; the work has run all
// the same, and a repeat of the call finds the claim granted.
func (c *Claimer) Finish(ctx context.Context, claim Claim, outcome Outcome) (Claim, error) {
	if !claim.Mine {
		return claim, ErrNotMine
	}
	s := claim.step(StateFinished)
	s.answer = outcome.Answer
	s.next.Outcome = outcome
	s.next.Outcome.Kept = outcome.Answer != nil && len(outcome.Answer) <= MaxAnswer
	s.next.Outcome.Answer = nil
	return c.advance(ctx, s)
}

// Release records that the work was certainly not run, so that the key may be
// claimed again. Errors as for Grant.
//
// The row is kept: if it were deleted, its versions would begin anew, and a
// delayed write from before could take effect on the next claim.
func (c *Claimer) Release(ctx context.Context, claim Claim) error {
	if !claim.Mine {
		return ErrNotMine
	}
	_, err := c.advance(ctx, claim.step(StateReleased))
	return err
}

// TakeOver makes the attempt the owner of somebody else's unfinished claim. In
// StateGranted it may be called only after the agent has voided the grant.
// Errors: ErrFinished, LostError when the claim has moved on since it was
// read, ErrUnavailable, ErrUnsettled.
func (c *Claimer) TakeOver(ctx context.Context, claim Claim, attempt string) (Claim, error) {
	if claim.State == StateFinished {
		return claim, ErrFinished
	}
	return c.advance(ctx, claim.replacement(claim.Fingerprint, attempt))
}

// Answer reads the answer of a finished claim: ErrAnswerGone or
// ErrUnavailable.
func (c *Claimer) Answer(ctx context.Context, claim Claim) ([]byte, error) {
	if !claim.Outcome.Kept {
		return nil, ErrAnswerGone
	}
	row, err := c.table.Get(ctx, answerKey(claim.row))
	if errors.Is(err, storage.ErrNotFound) {
		return nil, ErrAnswerGone
	}
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	return row.Value, nil
}

// advance writes a step and returns the claim as it is afterwards.
func (c *Claimer) advance(ctx context.Context, s *step) (Claim, error) {
	r := c.committer.submit(ctx, s)
	if errors.Is(r.err, errLost) {
		return Claim{}, &LostError{Current: r.found.claim(s.row, r.version, s.next.Attempt)}
	}
	if r.err != nil {
		return Claim{}, r.err
	}
	return s.next.claim(s.row, r.version, s.next.Attempt), nil
}

func firstRecord(fingerprint, attempt string) record {
	return record{
		Write:       uuid.NewString(),
		Attempt:     attempt,
		Fingerprint: fingerprint,
		State:       StateClaimed,
		Began:       time.Now().UTC(),
	}
}

// step returns the owner's next step of the claim.
func (c Claim) step(state State) *step {
	return &step{row: c.row, prior: c.write, version: c.version, next: record{
		Write:       uuid.NewString(),
		Attempt:     c.Attempt,
		Fingerprint: c.Fingerprint,
		State:       state,
		Agent:       c.Agent,
		Grant:       c.Grant,
		Began:       c.Began,
	}}
}

// replacement returns the step that puts another attempt in the claim's place.
func (c Claim) replacement(fingerprint, attempt string) *step {
	return &step{row: c.row, prior: c.write, version: c.version, next: firstRecord(fingerprint, attempt)}
}
