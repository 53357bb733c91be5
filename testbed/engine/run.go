package engine

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// errStreamCut is the error of a stream that is cut by CutStreams.
var errCut = errors.New("stream cut by fault injection")

// maxCatchUpTokens is the number of tokens by which a stream may fall behind its
// schedule, for example on a busy machine, and still catch up. Beyond that its
// schedule restarts at the current time.
const maxBehind = 8

// run is the execution of one chat completion request.
type run struct {
	server *Server
	record *Record
	prompt string
	tokens []string
	out    *chunkWriter
}

// serve waits for a slot and writes the complete stream.
func (r *run) serve(ctx context.Context) error {
	if err := r.out.open(); err != nil {
		return err
	}
	slots := &r.server.slots
	if err := slots.acquire(ctx, r.record.Priority); err != nil {
		return err
	}
	defer slots.release()
	if err := r.prefill(ctx); err != nil {
		return err
	}
	faults := r.server.takeFaults()
	if err := r.decode(ctx, faults); err != nil {
		return err
	}
	if err := faults.apply(ctx, len(r.tokens), len(r.tokens)); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return r.out.end(countTokens(r.prompt), len(r.tokens))
}

// prefill simulates the prefill of the prompt and, when resuming, of the tokens
// that the response already has.
func (r *run) prefill(ctx context.Context) error {
	prompt := countTokens(r.prompt)
	cached := min(r.server.cache.visit(r.prompt), prompt)
	r.server.journal.start(r.record, prompt, cached)
	work := prompt - cached + r.record.ResumedFrom
	perToken := r.server.pace(r.server.config.PrefillPerToken)
	return r.server.sleep(ctx, time.Duration(work)*perToken)
}

// decode writes the remaining tokens, one per interval.
func (r *run) decode(ctx context.Context, faults streamFaults) error {
	next := time.Now()
	for i := r.record.ResumedFrom; i < len(r.tokens); i++ {
		if err := faults.apply(ctx, i, len(r.tokens)); err != nil {
			return err
		}
		interval := r.server.pace(r.server.config.Interval)
		next = next.Add(interval)
		if time.Since(next) > maxBehind*interval {
			next = time.Now()
		}
		if err := r.server.sleep(ctx, time.Until(next)); err != nil {
			return err
		}
		if err := r.out.token(r.tokens[i]); err != nil {
			return err
		}
		r.server.journal.token(r.record)
		r.server.countToken()
	}
	return nil
}
