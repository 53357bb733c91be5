package api

import (
	"context"

	"github.com/applepier/applepier/internal/claim"
)

// claimGuard records in the claim which grant is used, before the request body is sent.
// It is not safe for concurrent use.
type claimGuard struct {
	claims ClaimStore
	claim  claim.Claim
}

// Take durably records the grant in the claim.
func (g *claimGuard) RecordGrant(ctx context.Context, agent, grant string) error {
	c, err := g.claims.Grant(ctx, g.claim, agent, grant)
	if err != nil {
		return err
	}
	g.claim = c
	return nil
}
