package matrix

import (
	"context"

	"github.com/sourcegraph/conc"
)

// Response lengths of the background load, in tokens. The load is small, so
// that several cells can run in parallel, but keeps every process busy.
const (
	hazardFlagTokens = 10
	noteTokens       = 30
)

// startBackground starts a few callers, each sending one request after the
// other, and returns the function that stops them.
func (h *harness) startBackground(ctx context.Context) (stop func()) {
	stopping := make(chan struct{})
	var wg conc.WaitGroup
	for i, request := range []callerRequest{
		{class: classFlag, tokens: hazardFlagTokens, customer: customerLarge},
		{class: classNote, tokens: noteTokens, customer: customerLarge},
		{class: classNote, tokens: noteTokens, customer: customerSmall, unstreamed: true},
	} {
		wg.Go(func() { h.repeatCall(ctx, stopping, request, i) })
	}
	return func() {
		close(stopping)
		wg.Wait()
	}
}

// repeatCall sends the request again and again, to the entries in turn, until
// stopping is closed.
func (h *harness) repeatCall(ctx context.Context, stopping <-chan struct{}, request callerRequest, n int) {
	for {
		select {
		case <-stopping:
			return
		default:
		}
		if entry := h.pickEntry(n); entry != nil {
			request.marker = h.newMarker(request.class)
			h.call(ctx, request, entry)
		}
		n++
		if !h.waitPollInterval(ctx, stopping) {
			return
		}
	}
}
