package policy

import (
	"slices"
	"time"
)

// fakeEngine runs a bounded number of streams in a batch. The time between tokens
// grows with each stream. Runs beyond the batch queue inside the engine, by tier.
type fakeEngine struct {
	batch int
	// externalStreams is how many places in the batch other clients' streams take.
	externalStreams int
	// slowdown multiplies all times; 1 is normal speed.
	slowdown float64
	// prefillFactor returns a factor for the time to prefill the next prompt; nil for
	// none.
	prefillFactor func() float64

	// prefillPerToken is the time to prefill a token on an idle engine. The time
	// between tokens is baseInterval and intervalPerStream for each stream.
	prefillPerToken   time.Duration
	baseInterval      time.Duration
	intervalPerStream time.Duration

	streams int
	queue   []queuedRun
}

// queuedRun is a run that waits for a place in the batch.
type queuedRun struct {
	tier  Tier
	begin func() bool
}

// newFakeEngine returns an idle engine of normal speed.
func newFakeEngine(batch int) *fakeEngine {
	return &fakeEngine{
		batch:             batch,
		slowdown:          1,
		prefillPerToken:   100 * time.Microsecond,
		baseInterval:      20 * time.Millisecond,
		intervalPerStream: time.Millisecond,
	}
}

// start calls begin as soon as the batch has a place; begin reports whether the run
// takes it.
func (e *fakeEngine) start(tier Tier, begin func() bool) {
	if e.streams+e.externalStreams < e.batch {
		if begin() {
			e.streams++
		}
		return
	}
	position := len(e.queue)
	for position > 0 && e.queue[position-1].tier > tier {
		position--
	}
	e.queue = slices.Insert(e.queue, position, queuedRun{tier: tier, begin: begin})
}

// release frees a place and gives it to the next queued run.
func (e *fakeEngine) release() {
	e.streams--
	e.startQueued()
}

// startQueued starts queued runs while the batch has a place.
func (e *fakeEngine) startQueued() {
	for len(e.queue) > 0 && e.streams+e.externalStreams < e.batch {
		begin := e.queue[0].begin
		e.queue = e.queue[1:]
		if begin() {
			e.streams++
		}
	}
}

// prefillTime returns the time to prefill a prompt, which grows with the load up to
// twice the time on an idle engine.
func (e *fakeEngine) prefillTime(promptTokens int) time.Duration {
	factor := 1 + float64(e.streams+e.externalStreams)/float64(e.batch)
	if e.prefillFactor != nil {
		factor *= e.prefillFactor()
	}
	return time.Duration(float64(promptTokens) * float64(e.prefillPerToken) * factor * e.slowdown)
}

// tokenInterval returns the time between two tokens of a stream.
func (e *fakeEngine) tokenInterval() time.Duration {
	interval := e.baseInterval + time.Duration(e.streams+e.externalStreams)*e.intervalPerStream
	return time.Duration(float64(interval) * e.slowdown)
}

// capacity returns how many requests of a workload a full batch completes per
// second.
func (e *fakeEngine) capacity(w workload) float64 {
	full := *e
	full.streams = e.batch - e.externalStreams
	runTime := full.prefillTime(w.promptTokens) + time.Duration(w.responseTokens)*full.tokenInterval()
	return float64(full.streams) / runTime.Seconds()
}
