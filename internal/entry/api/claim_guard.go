package api

import (
	"context"

	"github.com/applepier/applepier/internal/claim"
)

// guard records in the claim which grant is taken up, before the body is sent.
// Only its request's goroutine uses it.
type claimGuard struct {
	claims ClaimStore
	claim  claim.Claim
}

// Take records the grant durably.
func (g *claimGuard) Take(ctx context.Context, agent, grant string) error {
	c, err := g.claims.Grant(ctx, g.claim, agent, grant)
	if err != nil {
		return err
	}
	g.claim = c
	return nil
}
