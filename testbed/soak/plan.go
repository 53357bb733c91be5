package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of steps. Pauses, kills, cuts, resets and crashes of gateways and servers
// are faults that excuse a lost request; the other kinds are no excuse.
const (
	kindPause         = "freeze"
	kindKill          = "kill"
	kindCut           = "cut"
	kindReset         = "reset"
	kindDelay         = "delay"
	kindStop          = "stop"
	kindHangup        = "hang up" // SIGHUP
	kindSettings      = "settings"
	kindRoutes        = "routes"
	kindIdleTimeout   = "idle limit"
	kindKeys          = "keys"
	kindStoreFault    = "store fault"
	kindStoreSlow     = "store slow"
	kindStoreTruncate = "store forgets" // the store discards its change history
	kindStoreCut      = "store cut"
	kindStoreRestore  = "store returns" // the store is restored from an older snapshot
	kindDutiesFault   = "duties fault"  // a fault of the usage reporting API
	kindServerScript  = "server script"
	kindServerCrash   = "server crash"
	kindServerFailing = "server failing" // one of failingScripts
	kindServerEndless = "server endless" // one of endlessResponses
	kindServerPause   = "server freeze"
	kindServerReset   = "server reset"
	// kindServerRelease drains a server and replaces it by an instance of another
	// software version.
	kindServerRelease = "server release"
	// kindServerDrain is a release that the store doesn't learn of: only the server's responses say that
	// it drains.
	kindServerDrain = "server drain"
	// kindServerBackoff has a server reject requests and ask for a backoff.
	kindServerBackoff = "server backoff"
)

// Step is one fault or planned change. At is its offset from the start, Who the
// index of the gateway or server, For its duration, and How a random number from
// which the step's details are derived.
type Step struct {
	At   time.Duration
	Kind string
	Who  int
	For  time.Duration
	How  int
}

// stepSeries describes a sequence of steps and the intervals between them. A kind that
// is listed more than once is drawn more often.
type stepSeries struct {
	kinds                    []string
	minInterval, maxInterval time.Duration
	maxDuration              time.Duration
}

// The series run concurrently; each gateway and each server has its own.
var (
	faultSeries   = stepSeries{[]string{kindPause, kindPause, kindKill, kindCut, kindReset}, 3 * time.Second, 8 * time.Second, 2 * time.Second}
	plannedSeries = stepSeries{[]string{kindStop, kindHangup, kindSettings}, 2 * time.Second, 6 * time.Second, 0}
	pathSeries    = stepSeries{[]string{kindDelay}, 500 * time.Millisecond, 3 * time.Second, 2500 * time.Millisecond}
	stateSeries   = stepSeries{[]string{kindRoutes, kindRoutes, kindIdleTimeout, kindIdleTimeout, kindKeys}, 800 * time.Millisecond, 3 * time.Second, 0}
	storeSeries   = stepSeries{[]string{kindStoreFault, kindStoreFault, kindStoreSlow, kindStoreTruncate, kindStoreCut}, 2 * time.Second, 6 * time.Second, 2500 * time.Millisecond}
	restoreSeries = stepSeries{[]string{kindStoreRestore}, 5 * time.Second, 12 * time.Second, 3 * time.Second}
	dutiesSeries  = stepSeries{[]string{kindDutiesFault}, 2 * time.Second, 6 * time.Second, 3 * time.Second}
	scriptSeries  = stepSeries{[]string{kindServerScript}, time.Second, 5 * time.Second, 2 * time.Second}
	releaseSeries = stepSeries{[]string{kindServerRelease}, 2 * time.Second, 6 * time.Second, 0}
	drainSeries   = stepSeries{[]string{kindServerDrain}, 5 * time.Second, 12 * time.Second, 0}
	backoffSeries = stepSeries{[]string{kindServerBackoff}, 2 * time.Second, 8 * time.Second, 3 * time.Second}
	serverSeries  = stepSeries{[]string{kindServerCrash, kindServerPause, kindServerReset}, time.Second, 6 * time.Second, 2 * time.Second}
)

// Plan draws the steps of a seed, ordered by time. One gateway and half of the
// servers get no fault that excuses a lost request, so that their requests are
// owed a response at all times.
func Plan(seed uint64, gateways, servers int, duration time.Duration) []Step {
	var steps []Step
	seriesID := uint64(0)
	addSeries := func(s stepSeries, target int) {
		seriesID++
		random := rand.New(rand.NewPCG(seed, seriesID))
		drawDuration := func(shortest, longest time.Duration) time.Duration {
			return shortest + time.Duration(random.Int64N(int64(longest-shortest)+1))
		}
		for at := drawDuration(0, s.maxInterval); at < duration; at += drawDuration(s.minInterval, s.maxInterval) {
			length := min(drawDuration(0, s.maxDuration), duration-at)
			steps = append(steps, Step{At: at, Kind: s.kinds[random.IntN(len(s.kinds))], Who: target, For: length, How: random.IntN(1 << 20)})
		}
	}
	for target := range gateways {
		addSeries(plannedSeries, target)
		addSeries(pathSeries, target)
		if target != faultFreeGateway(seed, gateways) {
			addSeries(faultSeries, target)
		}
	}
	for target := range servers {
		addSeries(scriptSeries, target)
		if target < servers/2 {
			addSeries(serverSeries, target)
		}
	}
	addSeries(stateSeries, 0)
	addSeries(storeSeries, 0)
	addSeries(restoreSeries, 0)
	addSeries(dutiesSeries, 0)
	// Drawn last, so that the other steps of a seed stay the same.
	for target := range servers / 2 {
		addSeries(releaseSeries, target)
	}
	for target := range servers / 2 {
		addSeries(drainSeries, target)
	}
	for target := range servers {
		addSeries(backoffSeries, target)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// faultFreeGateway returns the index of the gateway that gets no faults which
// excuse a lost request.
func faultFreeGateway(seed uint64, gateways int) int { return int(seed % uint64(gateways)) }
