package api

import (
	"context"

	"github.com/applepier/applepier/internal/claim"
)

// claimGrantRecorder implements dispatch.GrantRecorder: it records in the claim which grant
// is about to be used. claim is the claim's latest state. It is not safe for concurrent
// use.
type claimGrantRecorder struct {
	claims ClaimStore
	claim  claim.Claim
}

// RecordGrant durably records the grant in the claim.
func (r *claimGrantRecorder) RecordGrant(ctx context.Context, agent, grant string) error {
	c, err := r.claims.Grant(ctx, r.claim, agent, grant)
	if err != nil {
		return err
	}
	r.claim = c
	return nil
}
