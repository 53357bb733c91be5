package claim

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
)

const (
	customer    = "digestate-ledger"
	key         = "docket-17"
	fingerprint = "f1"
)

// mustClaim claims the key for the attempt, which must get it.
func mustClaim(t *testing.T, c *Claimer, attempt string) Claim {
	t.Helper()
	claim, err := c.Claim(t.Context(), customer, key, fingerprint, attempt)
	if err != nil || !claim.Mine {
		t.Fatalf("claim: %+v, %v", claim, err)
	}
	return claim
}

func mustGrant(t *testing.T, c *Claimer, claim Claim, grant string) Claim {
	t.Helper()
	claim, err := c.Grant(t.Context(), claim, "127.0.0.1:9", grant)
	if err != nil {
		t.Fatalf("grant: %v", err)
	}
	return claim
}

// find claims the key for another attempt, which must not get it.
func find(t *testing.T, table storage.Table) Claim {
	t.Helper()
	c := NewClaimer(table)
	defer c.Close()
	claim, err := c.Claim(t.Context(), customer, key, fingerprint, "finder")
	if err != nil || claim.Mine {
		t.Fatalf("find: %+v, %v", claim, err)
	}
	return claim
}

func TestRepeatOfTheCallFindsEachState(t *testing.T) {
	table := storagetest.NewTable()
	c := NewClaimer(table)
	claim := mustClaim(t, c, "first")
	if found := find(t, table); found.State != StateClaimed || found.Attempt != "first" {
		t.Fatalf("after the claim: %+v", found)
	}
	claim = mustGrant(t, c, claim, "grant-1")
	if found := find(t, table); found.State != StateGranted || found.Grant != "grant-1" || found.Agent != "127.0.0.1:9" {
		t.Fatalf("after the grant: %+v", found)
	}
	answer := []byte(`{"docket":17}`)
	if _, err := c.Finish(t.Context(), claim, Outcome{Whole: true, Status: 200, Answer: answer}); err != nil {
		t.Fatal(err)
	}
	found := find(t, table)
	if found.State != StateFinished || !found.Outcome.Whole || found.Outcome.Status != 200 {
		t.Fatalf("after the end: %+v", found)
	}
	kept, err := c.Answer(t.Context(), found)
	if err != nil || !bytes.Equal(kept, answer) {
		t.Fatalf("answer: %q, %v", kept, err)
	}
	if _, err := c.TakeOver(t.Context(), found, "finder"); !errors.Is(err, ErrFinished) {
		t.Fatalf("take over finished work: %v", err)
	}
}

func TestAnswerTooLongIsGone(t *testing.T) {
	table := storagetest.NewTable()
	c := NewClaimer(table)
	claim := mustGrant(t, c, mustClaim(t, c, "first"), "grant-1")
	if _, err := c.Finish(t.Context(), claim, Outcome{Whole: true, Answer: make([]byte, MaxAnswer+1)}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Answer(t.Context(), find(t, table)); !errors.Is(err, ErrAnswerGone) {
		t.Fatalf("got %v, want an answer that is gone", err)
	}
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	c := NewClaimer(storagetest.NewTable())
	mustClaim(t, c, "first")
	_, err := c.Claim(t.Context(), customer, key, "f2", "second")
	if !errors.Is(err, ErrKeyReused) {
		t.Fatalf("got %v, want a reused key", err)
	}
	other, err := c.Claim(t.Context(), "kaivonkansi", key, "f2", "third")
	if err != nil || !other.Mine {
		t.Fatalf("the same key of another customer: %+v, %v", other, err)
	}
}

func TestReleasedKeyMayBeClaimedAgain(t *testing.T) {
	c := NewClaimer(storagetest.NewTable())
	if err := c.Release(t.Context(), mustClaim(t, c, "first")); err != nil {
		t.Fatal(err)
	}
	mustClaim(t, c, "second")
}

// Whatever happens to the writes, one of many attempts gets the key.
func TestOneOfManyAttemptsGetsTheKey(t *testing.T) {
	faults := map[string][]storagetest.Fault{
		"none":    nil,
		"lost":    {storagetest.FaultLost},
		"dropped": {storagetest.FaultDropped},
		"late":    {storagetest.FaultLate},
		"outage":  {storagetest.FaultDropped, storagetest.FaultDropped, storagetest.FaultLost},
		"several": {storagetest.FaultLost, storagetest.FaultLate, storagetest.FaultDropped, storagetest.FaultLost},
	}
	for name, faults := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := storagetest.NewTable()
				table.FailCommits(faults...)
				if won := race(t, NewClaimer(table), NewClaimer(table)); won != 1 {
					t.Fatalf("attempts that got the key: %d, want 1", won)
				}
				if table.Land() != 0 {
					t.Fatal("a late write took effect after all outcomes were told")
				}
			})
		})
	}
}

// race makes attempts at the key through each claimer and counts who gets it.
func race(t *testing.T, claimers ...*Claimer) int {
	const attemptsEach = 8
	var mu sync.Mutex
	var wg sync.WaitGroup
	won := 0
	for i, c := range claimers {
		for j := range attemptsEach {
			wg.Go(func() {
				claim, err := c.Claim(t.Context(), customer, key, fingerprint, fmt.Sprintf("%d-%d", i, j))
				if err != nil {
					t.Errorf("claim: %v", err)
				}
				mu.Lock()
				defer mu.Unlock()
				if claim.Mine {
					won++
				}
			})
		}
	}
	wg.Wait()
	return won
}

func TestStepsSurviveLostAnswers(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultLost, storagetest.FaultDropped, storagetest.FaultLate, storagetest.FaultSlow} {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			c := NewClaimer(table)
			table.FailCommits(fault)
			claim := mustClaim(t, c, "first")
			table.FailCommits(fault)
			claim = mustGrant(t, c, claim, "grant-1")
			table.FailCommits(fault)
			if _, err := c.Finish(t.Context(), claim, Outcome{Whole: true}); err != nil {
				t.Fatalf("fault %v: %v", fault, err)
			}
			table.Land()
			if found := find(t, table); found.State != StateFinished {
				t.Fatalf("fault %v: %+v", fault, found)
			}
		})
	}
}

func TestNothingGoesOnWhileTheTableIsDown(t *testing.T) {
	table := storagetest.NewTable()
	c := NewClaimer(table)
	claim := mustClaim(t, c, "first")
	table.SetDown(true)
	if _, err := c.Claim(t.Context(), customer, "other", fingerprint, "second"); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("claim: %v", err)
	}
	if _, err := c.Grant(t.Context(), claim, "a", "g"); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("grant: %v", err)
	}
	table.SetDown(false)
	if found := find(t, table); found.State != StateClaimed {
		t.Fatalf("after the outage: %+v", found)
	}
}

// The owner of a claim sleeps; another entry takes the claim over. The owner
// must not be able to take up a grant any more.
func TestOwnerLosesAClaimThatWasTakenOver(t *testing.T) {
	table := storagetest.NewTable()
	owner, other := NewClaimer(table), NewClaimer(table)
	claim := mustClaim(t, owner, "first")
	taken, err := other.TakeOver(t.Context(), find(t, table), "second")
	if err != nil || !taken.Mine {
		t.Fatalf("take over: %+v, %v", taken, err)
	}
	_, err = owner.Grant(t.Context(), claim, "a", "g")
	lost, ok := errors.Into[*LostError](err)
	if !ok || lost.Current.Attempt != "second" {
		t.Fatalf("grant of the old owner: %v", err)
	}
	mustGrant(t, other, taken, "grant-2")
}

func TestTwoTakeOversOneWins(t *testing.T) {
	table := storagetest.NewTable()
	c := NewClaimer(table)
	mustGrant(t, c, mustClaim(t, c, "first"), "grant-1")
	found := find(t, table)
	if _, err := c.TakeOver(t.Context(), found, "second"); err != nil {
		t.Fatal(err)
	}
	_, err := NewClaimer(table).TakeOver(t.Context(), found, "third")
	if lost, ok := errors.Into[*LostError](err); !ok || lost.Current.Attempt != "second" {
		t.Fatalf("second take-over: %v", err)
	}
}

func TestCallerThatGoesAwayIsToldTheTruth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		table.FailCommits(storagetest.FaultSlow)
		c := NewClaimer(table)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			synctest.Wait()
			cancel()
		}()
		_, err := c.Claim(ctx, customer, key, fingerprint, "first")
		if !errors.Is(err, ErrUnsettled) {
			t.Fatalf("got %v, want an unsettled outcome", err)
		}
		c.Close()
	})
}

// A write whose answer was lost just before an outage may have taken effect,
// so the claimer must not say that nothing was written.
func TestOutageAfterALostAnswerIsNotCalledUnavailable(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultLost, storagetest.FaultLate} {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			c := NewClaimer(downAfterCommit{table})
			table.FailCommits(fault)
			_, err := c.Claim(t.Context(), customer, key, fingerprint, "first")
			if !errors.Is(err, ErrUnsettled) || errors.Is(err, ErrUnavailable) {
				t.Fatalf("fault %v: got %v, want an unsettled outcome", fault, err)
			}
		})
	}
}

// downAfterCommit is a table that goes down after the first commit.
type downAfterCommit struct{ *storagetest.Table }

func (d downAfterCommit) Commit(ctx context.Context, writes []storage.Write) error {
	defer d.SetDown(true)
	return d.Table.Commit(ctx, writes)
}
