package follow

import "context"

// arrivalKey is where a call's context has what is told when its answer begins.
type arrivalKey struct{}

// Arrives is called by a Source when the answer to a call begins to come: from
// then on the call isn't held back any more, but on its way.
func Arrives(call context.Context) {
	if told, ok := call.Value(arrivalKey{}).(func()); ok {
		told()
	}
}

// withArrival has told called when the answer to a call begins to come.
func withArrival(ctx context.Context, told func()) context.Context {
	return context.WithValue(ctx, arrivalKey{}, told)
}
