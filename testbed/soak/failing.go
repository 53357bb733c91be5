package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// failingTime is for how long all servers fail at a time, and failingPause the time between.
	failingTime  = 11 * time.Second
	failingPause = 4 * time.Second
	// failingKillInterval is the mean time between two kills of each gateway while servers fail, and
	// failingDowntime the longest time in milliseconds until it starts again.
	failingKillInterval = 2500 * time.Millisecond
	failingDowntime     = 100
	// failurePause is how long callers wait after a request that wasn't served. Without it, they would send
	// so many requests that any number of retries is allowed.
	failurePause = time.Second
)

// failingScripts are the behaviors of servers that fail. The first lets all requests be repeated, the second
// safe ones.
var failingScripts = []string{"refuse", "refuse", "fail"}

// withFailingServers replaces the steps that change how servers behave by spans in which all of them fail,
// and adds kills of gateways in these.
func withFailingServers(steps []Step, seed uint64, gateways, servers int, duration time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 1<<32))
	steps = slices.DeleteFunc(steps, func(s Step) bool {
		switch s.Kind {
		case kindServerScript, kindServerBackoff, kindServerDrain, kindServerRelease, kindServerCrash, kindServerPause:
			return true
		case kindHangup:
			// It ends a process whose own code doesn't run yet, and processes start too often here.
			return true
		}
		return false
	})
	for from := failingPause; from < duration; from += failingTime + failingPause {
		span := min(failingTime, duration-from)
		for server := range servers {
			steps = append(steps, Step{At: from, Kind: kindServerFailing, Who: server, For: span, How: random.IntN(1 << 20)})
		}
		for gateway := range gateways {
			for at := from; at < from+span; at += time.Duration((0.5 + random.Float64()) * float64(failingKillInterval)) {
				steps = append(steps, Step{At: at, Kind: kindKill, Who: gateway, How: 2*random.IntN(failingDowntime/2) + 1})
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}
