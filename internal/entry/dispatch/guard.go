package dispatch

import "context"

// Guard protects work that may run at most once.
type Guard interface {
	// Take records durably that the grant is about to be used. An error means
	// that it is not recorded, and the request must not be sent.
	Take(ctx context.Context, agent, grant string) error
}
