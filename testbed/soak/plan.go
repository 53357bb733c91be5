package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of steps. Freezes, kills, cuts and resets excuse; the rest doesn't.
const (
	kindFreeze   = "freeze"
	kindKill     = "kill"
	kindCut      = "cut"
	kindReset    = "reset"
	kindDelay    = "delay"
	kindStop     = "stop"
	kindHangUp   = "hang up"
	kindSettings = "settings"
	kindRoutes   = "routes"
	kindIdle     = "idle limit"
	kindKeys     = "keys"
	kindBad      = "store fault"
	kindSlow     = "store slow"
	kindForget   = "store forgets"
	kindStoreCut = "store cut"
	kindReturn   = "store returns"
	kindDuties   = "duties fault"
	kindScript   = "server script"
	kindCrash    = "server crash"
	kindServer   = "server freeze"
	kindWay      = "server reset"
)

// Step is one fault or planned change: what, on whom, from when for how long,
// and a number that says how.
type Step struct {
	At   time.Duration
	Kind string
	Who  int
	For  time.Duration
	How  int
}

// series is a stream of steps with the pauses between them; what is there more
// than once is drawn more often.
type series struct {
	kinds       []string
	least, most time.Duration
	forMost     time.Duration
}

// The series overlap; each gateway and each server has the ones of its own.
var (
	hardSeries    = series{[]string{kindFreeze, kindFreeze, kindKill, kindCut, kindReset}, 3 * time.Second, 8 * time.Second, 2 * time.Second}
	plannedSeries = series{[]string{kindStop, kindHangUp, kindSettings}, 2 * time.Second, 6 * time.Second, 0}
	pathSeries    = series{[]string{kindDelay}, 500 * time.Millisecond, 3 * time.Second, 2500 * time.Millisecond}
	stateSeries   = series{[]string{kindRoutes, kindRoutes, kindIdle, kindIdle, kindKeys}, 800 * time.Millisecond, 3 * time.Second, 0}
	storeSeries   = series{[]string{kindBad, kindBad, kindSlow, kindForget, kindStoreCut}, 2 * time.Second, 6 * time.Second, 2500 * time.Millisecond}
	returnSeries  = series{[]string{kindReturn}, 5 * time.Second, 12 * time.Second, 3 * time.Second}
	dutiesSeries  = series{[]string{kindDuties}, 2 * time.Second, 6 * time.Second, 3 * time.Second}
	scriptSeries  = series{[]string{kindScript}, time.Second, 5 * time.Second, 2 * time.Second}
	serverSeries  = series{[]string{kindCrash, kindServer, kindWay}, time.Second, 6 * time.Second, 2 * time.Second}
)

// Plan draws a seed's steps. One gateway and half of the servers meet nothing
// that excuses a lost request: what they owe is owed all the while.
func Plan(seed uint64, gateways, servers int, over time.Duration) []Step {
	var steps []Step
	stream := uint64(0)
	play := func(s series, who int) {
		stream++
		random := rand.New(rand.NewPCG(seed, stream))
		span := func(least, most time.Duration) time.Duration {
			return least + time.Duration(random.Int64N(int64(most-least)+1))
		}
		for at := span(0, s.most); at < over; at += span(s.least, s.most) {
			lasts := min(span(0, s.forMost), over-at)
			steps = append(steps, Step{At: at, Kind: s.kinds[random.IntN(len(s.kinds))], Who: who, For: lasts, How: random.IntN(1 << 20)})
		}
	}
	for who := range gateways {
		play(plannedSeries, who)
		play(pathSeries, who)
		if who != calm(seed, gateways) {
			play(hardSeries, who)
		}
	}
	for who := range servers {
		play(scriptSeries, who)
		if who < servers/2 {
			play(serverSeries, who)
		}
	}
	play(stateSeries, 0)
	play(storeSeries, 0)
	play(returnSeries, 0)
	play(dutiesSeries, 0)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// calm is the gateway that meets nothing that excuses it.
func calm(seed uint64, gateways int) int { return int(seed % uint64(gateways)) }
