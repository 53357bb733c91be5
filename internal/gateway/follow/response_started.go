package follow

import "context"

// arrivalKey is where a call's context has what is told when its answer begins.
type responseStartedKey struct{}

// Arrives is called by a Source when the answer to a call begins to come: from
// then on the call isn't held back any more, but on its way.
func Arrives(ctx context.Context) {
	if notify, ok := ctx.Value(responseStartedKey{}).(func()); ok {
		notify()
	}
}

// withArrival has told called when the answer to a call begins to come.
func withResponseStarted(ctx context.Context, notify func()) context.Context {
	return context.WithValue(ctx, responseStartedKey{}, notify)
}
