package api

import (
	"context"
	"slices"
	"testing"

	"github.com/applepier/applepier/internal/claim"
	"github.com/applepier/applepier/internal/storage"
)

// unavailableClaims is a ClaimStore whose table service is unavailable.
type unavailableClaims struct{ ClaimStore }

func (unavailableClaims) Claim(context.Context, string, string, string, string) (claim.Claim, error) {
	return claim.Claim{}, storage.ErrUnavailable
}

func (f *blockingFixture) wantEvents(want ...string) {
	f.t.Helper()
	if got := f.recorder.events(); !slices.Equal(got, want) {
		f.t.Fatalf("observed %q, want %q", got, want)
	}
}

func TestObserverSeesReceiptAndEnd(t *testing.T) {
	f := newBlockingFixture(t, nil)
	f.mustDispatch(chatCall("lower", "m", 100), "lower")
	f.wantEvents("received lower")
	f.releaseAll()
	f.wantEvents("received lower", "ended lower whole ")
}

func TestObserverSeesRefusalsBeforeDispatch(t *testing.T) {
	f := newBlockingFixture(t, unavailableClaims{})
	claimed := chatCall("lower", "m", 100)
	claimed.Header.Set(HeaderIdempotencyKey, "k")
	f.mustRefuse(claimed, "claim_unavailable")
	f.reserveOtherBytes(maxBodyMemoryUnknownClass)
	f.mustRefuse(chatCall("lower", "m", 100), reasonBodiesFull)
	f.api.inFlight = maxInFlight
	f.mustRefuse(chatCall("urgent", "m", 100), reasonEntryFull)
	f.mustRefuse(chatCall("no such class", "m", 100), reasonEntryFull)
	f.wantEvents(
		"received lower", "ended lower not_run claim_unavailable",
		"refused lower bodies_full",
		"refused urgent entry_full",
		"refused (unknown) entry_full",
	)
}
