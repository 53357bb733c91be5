package policy

import "time"

// segmentWorkload describes the requests, crashes and gateways of a segmentSimulation. Rates are per
// second.
type segmentWorkload struct {
	gateways, servers int
	// soundRate and deadlyRate are those of all requests without and with the deadly segment.
	soundRate, deadlyRate float64
	// sharers is the share of sound requests that have the first segment and the customer's segment
	// of the deadly ones.
	sharers float64
	// beside is the number of sound segments that stand in deadly requests only.
	beside int
	// topics is the number of sound segments of which each request has one, in a skewed distribution.
	topics int
	// companions is the number of further sound segments of which each deadly request has a random
	// half, and no sound request any.
	companions int
	// besideAlone is the share of sharers that have one of the segments beside the deadly one.
	besideAlone float64
	// otherCrashes is the rate at which servers end for reasons of their own. massCrashes is how often
	// all servers end at once, with equal times between.
	otherCrashes float64
	massCrashes  int
	// spread is the time within which all servers end in a mass crash.
	spread time.Duration
	// lostEvidence is the share of crashed runs that their gateway doesn't observe as crashed.
	lostEvidence float64
	// restarts is how often one of the gateways starts anew, with equal times between.
	restarts int
	// rolled is whether all gateways start anew, one a second, from the first deadly request on.
	rolled bool
	// cuts is how often one of the gateways is cut off from the others for cutTime, with equal times
	// between.
	cuts int
	// place is where the deadly segment stands in its prompt.
	place segmentPlace
	// earlierBuild is the number of gateways that know nothing of segments.
	earlierBuild int
	// repeats is whether each deadly request is sent once more after it failed.
	repeats  bool
	duration time.Duration
}

// segmentPlace is where a segment stands in a prompt.
type segmentPlace int

const (
	anywhere segmentPlace = iota
	first
	last
)

// cutTime is for how long a gateway is cut off from the others.
const cutTime = 8 * time.Second

// segmentWorkloads are the conditions under which a quarantine is judged.
func segmentWorkloads() map[string]segmentWorkload {
	base := segmentWorkload{gateways: 6, servers: 12, soundRate: 20, deadlyRate: 1.5, sharers: 0.4, topics: 60, duration: time.Minute}
	vary := func(change func(w *segmentWorkload)) segmentWorkload {
		w := base
		change(&w)
		return w
	}
	return map[string]segmentWorkload{
		"base":                  base,
		"frequent":              vary(func(w *segmentWorkload) { w.deadlyRate = 8 }),
		"rare":                  vary(func(w *segmentWorkload) { w.deadlyRate = 0.2 }),
		"few sharers":           vary(func(w *segmentWorkload) { w.sharers = 0.02 }),
		"few sharers, frequent": vary(func(w *segmentWorkload) { w.sharers, w.deadlyRate = 0.02, 8 }),
		"three beside":          vary(func(w *segmentWorkload) { w.beside, w.besideAlone = 3, 0.05 }),
		"other crashes":         vary(func(w *segmentWorkload) { w.otherCrashes = 0.5 }),
		"mass crashes":          vary(func(w *segmentWorkload) { w.massCrashes = 4 }),
		"companions":            vary(func(w *segmentWorkload) { w.companions = 7 }),
		"mass crashes, spread":  vary(func(w *segmentWorkload) { w.massCrashes, w.spread = 4, 2*time.Second }),
		"none deadly, spread": vary(func(w *segmentWorkload) {
			w.deadlyRate, w.massCrashes, w.spread, w.otherCrashes = 0, 6, 2*time.Second, 1
		}),
		"bursts":               vary(func(w *segmentWorkload) { w.deadlyRate = 50 }),
		"lost evidence":        vary(func(w *segmentWorkload) { w.lostEvidence = 0.3 }),
		"restarts":             vary(func(w *segmentWorkload) { w.restarts = 12 }),
		"first segment":        vary(func(w *segmentWorkload) { w.place = first }),
		"last shared segment":  vary(func(w *segmentWorkload) { w.place = last }),
		"rolled":               vary(func(w *segmentWorkload) { w.rolled = true }),
		"cut off":              vary(func(w *segmentWorkload) { w.cuts = 5 }),
		"repeats":              vary(func(w *segmentWorkload) { w.repeats = true }),
		"earlier build":        vary(func(w *segmentWorkload) { w.earlierBuild = 3 }),
		"30 gateways":          vary(func(w *segmentWorkload) { w.gateways, w.servers, w.soundRate = 30, 40, 80 }),
		"none deadly, all end": vary(func(w *segmentWorkload) { w.deadlyRate, w.massCrashes, w.otherCrashes = 0, 6, 1 }),
	}
}
