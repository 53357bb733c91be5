package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// segmentOutcome is what a simulation counts.
type segmentOutcome struct {
	// deadlyRuns is the number of runs with the deadly segment, and late of those that were sent
	// later than contactTime after the fifth.
	deadlyRuns, late int
	// judged is the number of sound requests that share segments with deadly ones and came twice
	// contactTime after the fifth crash or later, and refused those of them that were refused.
	judged, refused int
	// soundRefused is the number of all sound requests that were refused, of sound.
	sound, soundRefused int
}

const (
	contactTime     = 3 * time.Second
	deadlySegmentID = SegmentID(0xdead)
)

// segmentQuarantine is what a segmentSimulation needs of a gateway's quarantine.
type segmentQuarantine interface {
	ObserveSegmentCrash(segments []SegmentID, crash Crash)
	ObserveAnswer(began time.Time, segments []SegmentID)
	SegmentsQuarantined(now time.Time, segments []SegmentID, owns func(key uint64) bool) bool
	Updates(now time.Time) []Suspicion
	Merge(now time.Time, suspicions []Suspicion)
	TakeChanges() (quarantined []Suspicion, released []SuspectID)
}

// segmentRun is a request that runs at a server.
type segmentRun struct {
	segments []SegmentID
	gateway  int
	server   int
	deadly   bool
	// sent and began are when the request was sent and its answer began.
	sent, began time.Time
	ended       bool
}

// segmentServer is a simulated backend server.
type segmentServer struct {
	instance Key
	up       bool
	runs     map[*segmentRun]bool
}

// segmentSimulation plays requests at gateways before servers that end under one segment.
type segmentSimulation struct {
	segmentWorkload
	random   *rand.Rand
	newState func() segmentQuarantine
	gateways []segmentQuarantine
	servers  []*segmentServer
	stored   []Suspicion
	// cutOff holds the gateways that are cut off from the others, and cutEnd when the last cut of each
	// ended.
	cutOff map[int]bool
	cutEnd map[int]time.Time
	*virtualClock
	started int
	// crashes are the times at which deadly runs ended a server.
	crashes []time.Time
	segmentOutcome
}

// simulateSegments plays one draw of a workload.
func simulateSegments(w segmentWorkload, seed uint64, newState func() segmentQuarantine) segmentOutcome {
	sim := &segmentSimulation{segmentWorkload: w, random: rand.New(rand.NewPCG(seed, 7)), newState: newState, cutOff: map[int]bool{}, cutEnd: map[int]time.Time{}, virtualClock: newVirtualClock()}
	for range w.gateways {
		sim.gateways = append(sim.gateways, newState())
	}
	for range w.servers {
		sim.servers = append(sim.servers, &segmentServer{runs: map[*segmentRun]bool{}})
		sim.startServer(len(sim.servers) - 1)
	}
	end := testStart.Add(w.duration)
	sim.repeat(end, sim.soundRate, func() { sim.arrive(sim.soundPrompt(), false, false) })
	// The deadly requests come once the sound ones have been served for a while.
	sim.afterFunc(10*time.Second, func() {
		sim.repeat(end, sim.deadlyRate, func() { sim.arrive(sim.deadlyPrompt(), true, false) })
		if sim.rolled {
			for i := range sim.gateways {
				sim.afterFunc(time.Duration(i+1)*time.Second, func() { sim.restartGateway(i) })
			}
		}
	})
	sim.repeat(end, sim.otherCrashes, func() { sim.crash(sim.random.IntN(len(sim.servers))) })
	for i := range w.massCrashes {
		sim.afterFunc(w.duration*time.Duration(i+1)/time.Duration(w.massCrashes+1), func() {
			for s := range sim.servers {
				sim.afterFunc(time.Duration(sim.random.Float64()*float64(w.spread)), func() { sim.crash(s) })
			}
		})
	}
	for i := range w.restarts {
		sim.afterFunc(w.duration*time.Duration(i+1)/time.Duration(w.restarts+1), func() { sim.restartGateway(sim.random.IntN(len(sim.gateways))) })
	}
	for i := range w.cuts {
		sim.afterFunc(w.duration*time.Duration(i+1)/time.Duration(w.cuts+1), func() { sim.cut(sim.random.IntN(len(sim.gateways))) })
	}
	sim.gossip(end)
	sim.runUntil(end)
	return sim.segmentOutcome
}

// repeat runs a function at random times at a mean rate, until end.
func (sim *segmentSimulation) repeat(end time.Time, rate float64, run func()) {
	if rate == 0 || sim.now.After(end) {
		return
	}
	sim.afterFunc(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), func() {
		run()
		sim.repeat(end, rate, run)
	})
}

// gossip sends the gateways' updates to each other in every interval; some datagrams are lost.
func (sim *segmentSimulation) gossip(end time.Time) {
	sim.afterFunc(gossipInterval, func() {
		for i, from := range sim.gateways {
			updates := from.Updates(sim.now)
			for j, to := range sim.gateways {
				if i != j && len(updates) > 0 && !sim.cutOff[i] && !sim.cutOff[j] && sim.random.Float64() >= 0.03 {
					to.Merge(sim.now, updates)
				}
			}
			quarantined, released := from.TakeChanges()
			sim.stored = slices.DeleteFunc(sim.stored, func(s Suspicion) bool { return slices.Contains(released, s.ID) })
			sim.stored = append(sim.stored, quarantined...)
		}
		if sim.now.Before(end) {
			sim.gossip(end)
		}
	})
}

// cut cuts a gateway off from the others for cutTime.
func (sim *segmentSimulation) cut(i int) {
	sim.cutOff[i] = true
	sim.afterFunc(cutTime, func() { sim.cutOff[i], sim.cutEnd[i] = false, sim.now })
}

// inTouch reports whether a gateway hasn't been cut off within contactTime.
func (sim *segmentSimulation) inTouch(gateway int) bool {
	end, wasCut := sim.cutEnd[gateway]
	return !sim.cutOff[gateway] && (!wasCut || sim.now.Sub(end) > contactTime)
}

// restartGateway replaces a gateway by one that knows only what is stored.
func (sim *segmentSimulation) restartGateway(i int) {
	sim.gateways[i] = sim.newState()
	sim.afterFunc(500*time.Millisecond, func() { sim.gateways[i].Merge(sim.now, seenNow(sim.stored, sim.now)) })
}

// seenNow returns suspicions as they are read from the store.
func seenNow(stored []Suspicion, now time.Time) []Suspicion {
	read := slices.Clone(stored)
	for i := range read {
		read[i].Seen, read[i].Cleared = now, time.Time{}
	}
	return read
}

// skewed draws a number below n, small ones more often.
func (sim *segmentSimulation) skewed(n int) int {
	return int(float64(n) * sim.random.Float64() * sim.random.Float64() * sim.random.Float64())
}

// soundPrompt returns the shared segments of a sound request: of the route, the customer and a topic.
func (sim *segmentSimulation) soundPrompt() []SegmentID {
	topic := SegmentID(1000 + sim.skewed(sim.topics))
	if sim.random.Float64() >= sim.sharers {
		return []SegmentID{1, SegmentID(20 + sim.random.IntN(9)), topic}
	}
	prompt := []SegmentID{2, 10, topic}
	if sim.random.Float64() < sim.besideAlone {
		prompt = append(prompt, SegmentID(100+sim.random.IntN(sim.beside)))
	}
	return prompt
}

// deadlyPrompt returns the shared segments of a request with the deadly one.
func (sim *segmentSimulation) deadlyPrompt() []SegmentID {
	prompt := []SegmentID{2, 10, SegmentID(1000 + sim.skewed(sim.topics))}
	for i := range sim.beside {
		prompt = append(prompt, SegmentID(100+i))
	}
	for i := range sim.companions {
		if sim.random.IntN(2) == 0 {
			prompt = append(prompt, SegmentID(500+i))
		}
	}
	at := sim.random.IntN(len(prompt) + 1)
	switch sim.place {
	case first:
		at = 0
	case last:
		at = len(prompt)
	}
	return slices.Insert(prompt, at, deadlySegmentID)
}

// arrive handles a request at a random gateway.
func (sim *segmentSimulation) arrive(segments []SegmentID, deadly, repeated bool) {
	gateway := sim.random.IntN(len(sim.gateways))
	refused := gateway >= sim.earlierBuild && sim.gateways[gateway].SegmentsQuarantined(sim.now, segments, sim.owner(gateway))
	if !deadly {
		sim.sound++
		shares := slices.Contains(segments, 10)
		judged := shares && len(sim.crashes) >= 5 && sim.now.Sub(sim.crashes[4]) > 2*contactTime
		if judged {
			sim.judged++
		}
		if refused {
			sim.soundRefused++
			if judged {
				sim.refused++
			}
		}
	}
	up := slices.DeleteFunc(indices(len(sim.servers)), func(i int) bool { return !sim.servers[i].up })
	if refused || len(up) == 0 {
		return
	}
	server := up[sim.random.IntN(len(up))]
	run := &segmentRun{segments: segments, gateway: gateway, server: server, deadly: deadly, sent: sim.now}
	sim.servers[server].runs[run] = true
	if deadly && gateway >= sim.earlierBuild {
		sim.deadlyRuns++
		if len(sim.crashes) >= 5 && sim.now.Sub(sim.crashes[4]) > contactTime && sim.inTouch(gateway) {
			sim.late++
		}
	}
	firstToken := 30*time.Millisecond + time.Duration(sim.random.IntN(250))*time.Millisecond
	sim.afterFunc(firstToken, func() { sim.begin(run, repeated) })
}

// owner returns a function that reports whether a gateway makes the trials for a key.
func (sim *segmentSimulation) owner(gateway int) func(key uint64) bool {
	return func(key uint64) bool {
		candidates := uint64(len(sim.gateways) - sim.earlierBuild)
		return uint64(gateway-sim.earlierBuild) == key%candidates
	}
}

// indices returns the numbers below n.
func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// begin begins the answer of a run.
func (sim *segmentSimulation) begin(run *segmentRun, repeated bool) {
	if run.ended {
		return
	}
	run.began = sim.now
	if run.deadly {
		sim.afterFunc(time.Duration(50+sim.random.IntN(100))*time.Millisecond, func() {
			if !run.ended {
				sim.crashes = append(sim.crashes, sim.now)
				sim.crash(run.server)
				if sim.repeats && !repeated {
					sim.afterFunc(200*time.Millisecond, func() { sim.arrive(run.segments, true, true) })
				}
			}
		})
		return
	}
	duration := time.Duration(sim.random.ExpFloat64() * float64(1500*time.Millisecond))
	if duration > ProvenAnswerTime {
		sim.afterFunc(ProvenAnswerTime, func() { sim.answered(run) })
	}
	sim.afterFunc(duration, func() {
		if !run.ended {
			sim.answered(run)
			run.ended = true
			delete(sim.servers[run.server].runs, run)
		}
	})
}

// answered reports to the gateway of a run that its segments were answered.
func (sim *segmentSimulation) answered(run *segmentRun) {
	if !run.ended && run.gateway >= sim.earlierBuild {
		sim.gateways[run.gateway].ObserveAnswer(run.began, run.segments)
	}
}

// crash ends a server, which starts again after some seconds.
func (sim *segmentSimulation) crash(server int) {
	s := sim.servers[server]
	if !s.up {
		return
	}
	s.up = false
	instance, now := s.instance, sim.now
	for _, run := range sortedRuns(s.runs) {
		run.ended = true
		proven := !run.began.IsZero() && now.Sub(run.began) >= ProvenAnswerTime
		if proven || run.gateway < sim.earlierBuild || sim.random.Float64() < sim.lostEvidence {
			continue
		}
		sim.afterFunc(time.Duration(5+sim.random.IntN(30))*time.Millisecond, func() {
			sim.gateways[run.gateway].ObserveSegmentCrash(run.segments, Crash{Instance: instance, At: sim.now, Ran: sim.now.Sub(run.sent)})
		})
	}
	clear(s.runs)
	sim.afterFunc(3*time.Second+time.Duration(sim.random.IntN(2000))*time.Millisecond, func() { sim.startServer(server) })
}

// sortedRuns returns runs in an order that doesn't depend on the map's.
func sortedRuns(runs map[*segmentRun]bool) []*segmentRun {
	list := make([]*segmentRun, 0, len(runs))
	for run := range runs {
		list = append(list, run)
	}
	slices.SortFunc(list, func(a, b *segmentRun) int {
		if c := a.began.Compare(b.began); c != 0 {
			return c
		}
		if c := a.gateway - b.gateway; c != 0 {
			return c
		}
		return slices.Compare(a.segments, b.segments)
	})
	return list
}

// startServer starts a new instance of a server.
func (sim *segmentSimulation) startServer(server int) {
	sim.started++
	sim.servers[server].instance = KeyOf(fmt.Sprint("server", sim.started))
	sim.servers[server].up = true
}

func newSegmentQuarantine() segmentQuarantine { return NewQuarantine() }
