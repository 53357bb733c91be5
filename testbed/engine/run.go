package engine

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// errStreamCut is the error of a stream that is cut by CutStreams.
var errStreamCut = errors.New("stream cut by fault injection")

// maxCatchUpTokens is the number of tokens by which a stream may fall behind its
// schedule, for example on a busy machine, and still catch up. Beyond that its
// schedule restarts at the current time.
const maxCatchUpTokens = 8

// run is the execution of one chat completion request.
type run struct {
	server     *Server
	record     *RunRecord
	promptText string
	tokens     []string
	writer     *chunkWriter
}

// serve waits for a slot and writes the complete stream.
func (r *run) serve(ctx context.Context) error {
	if err := r.writer.start(); err != nil {
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
	faults := r.server.nextStreamFaults()
	if err := r.decode(ctx, faults); err != nil {
		return err
	}
	if err := faults.apply(ctx, len(r.tokens), len(r.tokens)); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return r.writer.finish(estimateTokens(r.promptText), len(r.tokens))
}

// prefill simulates the prefill of the prompt and, when resuming, of the tokens
// that the response already has.
func (r *run) prefill(ctx context.Context) error {
	promptTokens := estimateTokens(r.promptText)
	cachedTokens := min(r.server.cache.lookupAndStore(r.promptText), promptTokens)
	r.server.runs.start(r.record, promptTokens, cachedTokens)
	prefillTokens := promptTokens - cachedTokens + r.record.ResumedFrom
	perToken := r.server.scaleDelay(r.server.config.PrefillPerToken)
	return r.server.sleep(ctx, time.Duration(prefillTokens)*perToken)
}

// decode writes the remaining tokens, one per interval.
func (r *run) decode(ctx context.Context, faults streamFaults) error {
	nextTokenAt := time.Now()
	for i := r.record.ResumedFrom; i < len(r.tokens); i++ {
		if err := faults.apply(ctx, i, len(r.tokens)); err != nil {
			return err
		}
		interval := r.server.scaleDelay(r.server.config.TokenInterval)
		nextTokenAt = nextTokenAt.Add(interval)
		if time.Since(nextTokenAt) > maxCatchUpTokens*interval {
			nextTokenAt = time.Now()
		}
		if err := r.server.sleep(ctx, time.Until(nextTokenAt)); err != nil {
			return err
		}
		if err := r.writer.writeToken(r.tokens[i]); err != nil {
			return err
		}
		r.server.runs.addToken(r.record)
		r.server.countDownToCrash()
	}
	return nil
}
