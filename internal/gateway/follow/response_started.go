package follow

import "context"

// responseStartedKey is the context key of the function to call when a response starts.
type responseStartedKey struct{}

// ResponseStarted is called by a Source, with the context of the call, when the response starts to
// arrive. The store no longer holds back the response then.
func ResponseStarted(ctx context.Context) {
	if notify, ok := ctx.Value(responseStartedKey{}).(func()); ok {
		notify()
	}
}

// withResponseStarted returns a context with which ResponseStarted calls notify.
func withResponseStarted(ctx context.Context, notify func()) context.Context {
	return context.WithValue(ctx, responseStartedKey{}, notify)
}
