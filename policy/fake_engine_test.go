package policy

import (
	"slices"
	"time"
)

// fakeEngine batches a bounded number of streams; the time between tokens
// grows with each. What doesn't fit waits inside, by priority.
type fakeEngine struct {
	batch int
	// foreign streams of others take places in the batch.
	foreign int
	// slow stretches all times; 1 is normal.
	slow float64
	// uneven stretches the reading of a prompt, each time anew.
	uneven func() float64

	promptToken time.Duration
	interval    time.Duration
	perStream   time.Duration

	streams int
	line    []lineEntry
}

// lineEntry is a run that waits inside the engine.
type lineEntry struct {
	tier Tier
	run  func() bool
}

func newFakeEngine(batch int) *fakeEngine {
	return &fakeEngine{
		batch:       batch,
		slow:        1,
		promptToken: 100 * time.Microsecond,
		interval:    20 * time.Millisecond,
		perStream:   time.Millisecond,
	}
}

// enter calls run when the batch has a place; run reports whether it takes it.
func (e *fakeEngine) enter(tier Tier, run func() bool) {
	if e.streams+e.foreign < e.batch {
		if run() {
			e.streams++
		}
		return
	}
	at := len(e.line)
	for at > 0 && e.line[at-1].tier > tier {
		at--
	}
	e.line = slices.Insert(e.line, at, lineEntry{tier: tier, run: run})
}

// leave frees a place.
func (e *fakeEngine) leave() {
	e.streams--
	e.fill()
}

// fill lets in what waits inside while the batch has a place.
func (e *fakeEngine) fill() {
	for len(e.line) > 0 && e.streams+e.foreign < e.batch {
		run := e.line[0].run
		e.line = e.line[1:]
		if run() {
			e.streams++
		}
	}
}

func (e *fakeEngine) prefill(prompt int) time.Duration {
	load := 1 + float64(e.streams+e.foreign)/float64(e.batch)
	if e.uneven != nil {
		load *= e.uneven()
	}
	return time.Duration(float64(prompt) * float64(e.promptToken) * load * e.slow)
}

func (e *fakeEngine) between() time.Duration {
	d := e.interval + time.Duration(e.streams+e.foreign)*e.perStream
	return time.Duration(float64(d) * e.slow)
}

// capacity is how many requests of a kind a full batch completes per second.
func (e *fakeEngine) capacity(w workload) float64 {
	full := *e
	full.streams = e.batch - e.foreign
	run := full.prefill(w.prompt) + time.Duration(w.answer)*full.between()
	return float64(full.streams) / run.Seconds()
}
