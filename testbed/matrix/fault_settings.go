package matrix

import (
	"time"

	"github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/platform"
)

// Parameters of the faults.
const (
	// constantDelay and maxRandomDelay stay below the round-trip time after which
	// a connection counts as dead (1 s).
	constantDelay  = 150 * time.Millisecond
	maxRandomDelay = 300 * time.Millisecond
	// stragglerSlowdown is the factor by which a straggler is slower.
	stragglerSlowdown = 30
	// stallAfterTokens and cutAfterTokens are the numbers of tokens sent before a stream
	// stalls or is cut.
	stallAfterTokens = 5
	cutAfterTokens   = 7
	// faultyStreams is the number of streams that stall or are cut.
	faultyStreams = 3
	// externalStreams is the load on an engine from outside the fleet, in streams.
	externalStreams = 3 * engineCapacity
	// staleLoadAge is the age of load reports in cells with StaleLoad. It is
	// longer than a cell, so reports never show what happens during it.
	staleLoadAge = 10 * time.Minute
	// platformCallDelay is added to each call of the platform. Two such calls
	// take longer than the system's timeout for one.
	platformCallDelay = 1800 * time.Millisecond
	// vmListAge is the age of the VM list; it is longer than a cell.
	vmListAge = 10 * time.Minute
)

// healthyEngine holds the fault settings of an engine without faults.
var healthyEngine = engine.Knobs{}

// engineFaults returns the fault settings of an engine for a kind of fault.
func engineFaults(kind FaultKind) engine.Knobs {
	switch kind {
	case Straggler:
		return engine.Knobs{Slowdown: stragglerSlowdown}
	case Stall:
		return engine.Knobs{StallStreams: faultyStreams, StallAfter: stallAfterTokens}
	case CutStream:
		return engine.Knobs{CutStreams: faultyStreams, CutAfter: cutAfterTokens}
	case StaleLoad:
		return engine.Knobs{ExternalStreams: externalStreams}
	}
	return healthyEngine
}

// platformFaults returns the change of the platform's fault settings for a kind of
// fault.
func platformFaults(kind FaultKind) func(*platform.Knobs) {
	return func(k *platform.Knobs) {
		switch kind {
		case PlatformDown:
			k.Down = true
		case PlatformSlow:
			k.SlowMS = int(platformCallDelay.Milliseconds())
		case LostResponse:
			k.DropResponses = 1
		case ListLags:
			k.ListLagMS = int(vmListAge.Milliseconds())
		}
	}
}

// clearPlatformFaults clears all faults of the platform.
func clearPlatformFaults(k *platform.Knobs) {
	k.Down, k.SlowMS, k.DropResponses, k.ListLagMS = false, 0, 0, 0
}
