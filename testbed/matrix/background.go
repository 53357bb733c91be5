package matrix

import (
	"context"

	"github.com/sourcegraph/conc"
)

// Background load: small, so that a cell fits beside others, but never
// without work at any process.
const (
	flagTokens = 10
	noteTokens = 30
)

// startBackground keeps a few callers busy, one request after the other, and
// returns what ends them.
func (r *rig) startBackground(ctx context.Context) (stop func()) {
	ending := make(chan struct{})
	var wg conc.WaitGroup
	for i, load := range []ask{
		{class: classFlag, tokens: flagTokens, customer: customerLarge},
		{class: classNote, tokens: noteTokens, customer: customerLarge},
		{class: classNote, tokens: noteTokens, customer: customerSmall, whole: true},
	} {
		wg.Go(func() { r.repeat(ctx, ending, load, i) })
	}
	return func() {
		close(ending)
		wg.Wait()
	}
}

func (r *rig) repeat(ctx context.Context, ending <-chan struct{}, load ask, n int) {
	for {
		select {
		case <-ending:
			return
		default:
		}
		if entry := r.pick(n); entry != nil {
			load.marker = r.mark(load.class)
			r.call(ctx, load, entry)
		}
		n++
		if !r.pause(ctx, ending) {
			return
		}
	}
}
