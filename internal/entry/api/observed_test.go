package api

import (
	"context"
	"slices"
	"testing"

	"github.com/applepier/applepier/internal/claim"
	"github.com/applepier/applepier/internal/storage"
)

// unavailable are claims whose table service is down.
type unavailable struct{ Claims }

func (unavailable) Claim(context.Context, string, string, string, string) (claim.Claim, error) {
	return claim.Claim{}, storage.ErrUnavailable
}

func (f *fixture) wantHeard(want ...string) {
	f.t.Helper()
	if got := f.observed.heard(); !slices.Equal(got, want) {
		f.t.Fatalf("observed %q, want %q", got, want)
	}
}

func TestObservedAtTheBeginningAndTheEnd(t *testing.T) {
	f := newFixture(t, nil)
	f.hold(chatCall("lower", "m", 100), "lower")
	f.wantHeard("received lower")
	f.letAllGo()
	f.wantHeard("received lower", "ended lower whole ")
}

func TestObservedRefusalsBeforeDispatch(t *testing.T) {
	f := newFixture(t, unavailable{})
	claimed := chatCall("lower", "m", 100)
	claimed.Header.Set(HeaderIdempotencyKey, "k")
	f.refuse(claimed, "claim_unavailable")
	f.holdOthers(heldUnnamed)
	f.refuse(chatCall("lower", "m", 100), reasonBodiesFull)
	f.api.inFlight = maxInFlight
	f.refuse(chatCall("urgent", "m", 100), reasonEntryFull)
	f.refuse(chatCall("no such class", "m", 100), reasonEntryFull)
	f.wantHeard(
		"received lower", "ended lower not_run claim_unavailable",
		"refused lower bodies_full",
		"refused urgent entry_full",
		"refused (unknown) entry_full",
	)
}
