package dispatch

import "context"

// GrantRecorder records grants of requests that may run at most once.
type Guard interface {
	// RecordGrant durably records that the grant is about to be used. If it
	// returns an error, the grant is not recorded and the request must not be
	// sent.
	Take(ctx context.Context, agent, grant string) error
}
