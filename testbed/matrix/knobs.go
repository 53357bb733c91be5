package matrix

import (
	"time"

	"github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/platform"
)

// Strengths of faults.
const (
	// constantDelay and widestDelay stay below the bound after which a
	// connection counts as dead (1 s there and back).
	constantDelay = 150 * time.Millisecond
	widestDelay   = 300 * time.Millisecond
	// slowness is how many times slower a straggler is.
	slowness = 30
	// stallAfter and cutAfter are tokens of an answer.
	stallAfter = 5
	cutAfter   = 7
	// faultyStreams is how many of the next streams stall or are cut.
	faultyStreams = 3
	// foreignStreams is others' load on an engine.
	foreignStreams = 3 * engineCapacity
	// staleLoadLag is the age that a load report reaches in cells with
	// StaleLoad: the report never shows what happens during the cell.
	staleLoadLag = 10 * time.Minute
	// slowCall delays each call of the platform; two such calls are longer
	// than the product waits for one.
	slowCall = 1800 * time.Millisecond
	// listLag is longer than a cell.
	listLag = 10 * time.Minute
)

// healthyEngine has no faults.
var healthyEngine = engine.Knobs{}

func engineKnobs(kind Kind) engine.Knobs {
	switch kind {
	case Straggler:
		return engine.Knobs{Slow: slowness}
	case Stall:
		return engine.Knobs{StallStreams: faultyStreams, StallAfter: stallAfter}
	case CutStream:
		return engine.Knobs{CutStreams: faultyStreams, CutAfter: cutAfter}
	case StaleLoad:
		return engine.Knobs{Foreign: foreignStreams}
	}
	return healthyEngine
}

func platformKnobs(kind Kind) func(*platform.Knobs) {
	return func(k *platform.Knobs) {
		switch kind {
		case PlatformDown:
			k.Down = true
		case PlatformSlow:
			k.SlowMS = int(slowCall.Milliseconds())
		case LostAnswer:
			k.LoseAnswers = 1
		case ListLags:
			k.ListLagMS = int(listLag.Milliseconds())
		}
	}
}

func healPlatform(k *platform.Knobs) {
	k.Down, k.SlowMS, k.LoseAnswers, k.ListLagMS = false, 0, 0, 0
}
