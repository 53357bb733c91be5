package dispatch

import "context"

// GrantRecorder records grants of requests that may run at most once.
type GrantRecorder interface {
	// RecordGrant durably records that the grant is about to be used. If it
	// returns an error, the grant is not recorded and the request must not be
	// sent.
	RecordGrant(ctx context.Context, agent, grant string) error
}
