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

// mustClaim claims the key for the attempt and fails the test if it does not succeed.
func mustClaim(t *testing.T, c *Claimer, attempt string) Claim {
	t.Helper()
	claim, err := c.Claim(t.Context(), customer, key, fingerprint, attempt)
	if err != nil || !claim.Owned {
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

// claimExisting claims the key for another attempt, which must find the existing claim.
func claimExisting(t *testing.T, table storage.Table) Claim {
	t.Helper()
	c := NewClaimer(table)
	defer c.Close()
	claim, err := c.Claim(t.Context(), customer, key, fingerprint, "finder")
	if err != nil || claim.Owned {
		t.Fatalf("claim of an existing key: %+v, %v", claim, err)
	}
	return claim
}

func TestRepeatedCallObservesEachState(t *testing.T) {
	table := storagetest.NewTable()
	c := NewClaimer(table)
	claim := mustClaim(t, c, "first")
	if found := claimExisting(t, table); found.State != StateClaimed || found.Attempt != "first" {
		t.Fatalf("after the claim: %+v", found)
	}
	claim = mustGrant(t, c, claim, "grant-1")
	if found := claimExisting(t, table); found.State != StateGranted || found.Grant != "grant-1" || found.Agent != "127.0.0.1:9" {
		t.Fatalf("after the grant: %+v", found)
	}
	response := []byte(`{"docket":17}`)
	if _, err := c.Finish(t.Context(), claim, Outcome{Complete: true, Status: 200, Response: response}); err != nil {
		t.Fatal(err)
	}
	found := claimExisting(t, table)
	if found.State != StateFinished || !found.Outcome.Complete || found.Outcome.Status != 200 {
		t.Fatalf("after finish: %+v", found)
	}
	stored, err := c.Response(t.Context(), found)
	if err != nil || !bytes.Equal(stored, response) {
		t.Fatalf("response: %q, %v", stored, err)
	}
	if _, err := c.TakeOver(t.Context(), found, "finder"); !errors.Is(err, ErrFinished) {
		t.Fatalf("take over finished work: %v", err)
	}
}

func TestOversizedResponseIsNotStored(t *testing.T) {
	table := storagetest.NewTable()
	c := NewClaimer(table)
	claim := mustGrant(t, c, mustClaim(t, c, "first"), "grant-1")
	if _, err := c.Finish(t.Context(), claim, Outcome{Complete: true, Response: make([]byte, MaxResponseBytes+1)}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Response(t.Context(), claimExisting(t, table)); !errors.Is(err, ErrResponseNotStored) {
		t.Fatalf("got %v, want ErrResponseNotStored", err)
	}
}

func TestKeyReusedForDifferentRequestIsRejected(t *testing.T) {
	c := NewClaimer(storagetest.NewTable())
	mustClaim(t, c, "first")
	_, err := c.Claim(t.Context(), customer, key, "f2", "second")
	if !errors.Is(err, ErrKeyReused) {
		t.Fatalf("got %v, want ErrKeyReused", err)
	}
	other, err := c.Claim(t.Context(), "kaivonkansi", key, "f2", "third")
	if err != nil || !other.Owned {
		t.Fatalf("the same key of another customer: %+v, %v", other, err)
	}
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	c := NewClaimer(storagetest.NewTable())
	if err := c.Release(t.Context(), mustClaim(t, c, "first")); err != nil {
		t.Fatal(err)
	}
	mustClaim(t, c, "second")
}

// Exactly one of many concurrent attempts claims the key, under every commit fault.
func TestExactlyOneConcurrentAttemptClaimsKey(t *testing.T) {
	faults := map[string][]storagetest.Fault{
		"none":          nil,
		"response lost": {storagetest.FaultResponseLost},
		"request lost":  {storagetest.FaultRequestLost},
		"delayed":       {storagetest.FaultDelayed},
		"outage":        {storagetest.FaultRequestLost, storagetest.FaultRequestLost, storagetest.FaultResponseLost},
		"several":       {storagetest.FaultResponseLost, storagetest.FaultDelayed, storagetest.FaultRequestLost, storagetest.FaultResponseLost},
	}
	for name, faults := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := storagetest.NewTable()
				table.InjectFaults(faults...)
				if claimed := countClaimed(t, NewClaimer(table), NewClaimer(table)); claimed != 1 {
					t.Fatalf("attempts that claimed the key: %d, want 1", claimed)
				}
				if table.ApplyDelayed() != 0 {
					t.Fatal("a delayed write was applied after all outcomes were reported")
				}
			})
		})
	}
}

// countClaimed makes concurrent attempts at the key through each claimer and returns
// how many of them claimed it.
func countClaimed(t *testing.T, claimers ...*Claimer) int {
	const attemptsEach = 8
	var mu sync.Mutex
	var wg sync.WaitGroup
	claimed := 0
	for i, c := range claimers {
		for j := range attemptsEach {
			wg.Go(func() {
				claim, err := c.Claim(t.Context(), customer, key, fingerprint, fmt.Sprintf("%d-%d", i, j))
				if err != nil {
					t.Errorf("claim: %v", err)
				}
				mu.Lock()
				defer mu.Unlock()
				if claim.Owned {
					claimed++
				}
			})
		}
	}
	wg.Wait()
	return claimed
}

func TestTransitionsSurviveCommitFaults(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultResponseLost, storagetest.FaultRequestLost, storagetest.FaultDelayed, storagetest.FaultTimeout} {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			c := NewClaimer(table)
			table.InjectFaults(fault)
			claim := mustClaim(t, c, "first")
			table.InjectFaults(fault)
			claim = mustGrant(t, c, claim, "grant-1")
			table.InjectFaults(fault)
			if _, err := c.Finish(t.Context(), claim, Outcome{Complete: true}); err != nil {
				t.Fatalf("fault %v: %v", fault, err)
			}
			table.ApplyDelayed()
			if found := claimExisting(t, table); found.State != StateFinished {
				t.Fatalf("fault %v: %+v", fault, found)
			}
		})
	}
}

func TestTransitionsFailWhileTableIsDown(t *testing.T) {
	table := storagetest.NewTable()
	c := NewClaimer(table)
	claim := mustClaim(t, c, "first")
	table.SetUnavailable(true)
	if _, err := c.Claim(t.Context(), customer, "other", fingerprint, "second"); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("claim: %v", err)
	}
	if _, err := c.Grant(t.Context(), claim, "a", "g"); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("grant: %v", err)
	}
	table.SetUnavailable(false)
	if found := claimExisting(t, table); found.State != StateClaimed {
		t.Fatalf("after the outage: %+v", found)
	}
}

// An owner that was suspended while another entry took over its claim must not be able
// to record a grant.
func TestGrantFailsAfterTakeOver(t *testing.T) {
	table := storagetest.NewTable()
	owner, other := NewClaimer(table), NewClaimer(table)
	claim := mustClaim(t, owner, "first")
	taken, err := other.TakeOver(t.Context(), claimExisting(t, table), "second")
	if err != nil || !taken.Owned {
		t.Fatalf("take over: %+v, %v", taken, err)
	}
	_, err = owner.Grant(t.Context(), claim, "a", "g")
	conflict, isConflict := errors.Into[*ConflictError](err)
	if !isConflict || conflict.Current.Attempt != "second" {
		t.Fatalf("grant by the former owner: %v", err)
	}
	mustGrant(t, other, taken, "grant-2")
}

func TestOnlyOneTakeOverSucceeds(t *testing.T) {
	table := storagetest.NewTable()
	c := NewClaimer(table)
	mustGrant(t, c, mustClaim(t, c, "first"), "grant-1")
	found := claimExisting(t, table)
	if _, err := c.TakeOver(t.Context(), found, "second"); err != nil {
		t.Fatal(err)
	}
	_, err := NewClaimer(table).TakeOver(t.Context(), found, "third")
	if conflict, isConflict := errors.Into[*ConflictError](err); !isConflict || conflict.Current.Attempt != "second" {
		t.Fatalf("second take-over: %v", err)
	}
}

func TestCancelledCallReportsOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storagetest.NewTable()
		table.InjectFaults(storagetest.FaultTimeout)
		c := NewClaimer(table)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			synctest.Wait()
			cancel()
		}()
		_, err := c.Claim(ctx, customer, key, fingerprint, "first")
		if !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("got %v, want ErrOutcomeUnknown", err)
		}
		c.Close()
	})
}

// A write whose response was lost just before an outage may have been applied, so the
// error must not be ErrUnavailable, which means that nothing was written.
func TestOutageAfterLostResponseReportsOutcomeUnknown(t *testing.T) {
	for _, fault := range []storagetest.Fault{storagetest.FaultResponseLost, storagetest.FaultDelayed} {
		synctest.Test(t, func(t *testing.T) {
			table := storagetest.NewTable()
			c := NewClaimer(downAfterCommit{table})
			table.InjectFaults(fault)
			_, err := c.Claim(t.Context(), customer, key, fingerprint, "first")
			if !errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrUnavailable) {
				t.Fatalf("fault %v: got %v, want ErrOutcomeUnknown", fault, err)
			}
		})
	}
}

// downAfterCommit is a table that goes down after the first commit.
type downAfterCommit struct{ *storagetest.Table }

func (d downAfterCommit) Commit(ctx context.Context, writes []storage.Write) error {
	defer d.SetUnavailable(true)
	return d.Table.Commit(ctx, writes)
}
