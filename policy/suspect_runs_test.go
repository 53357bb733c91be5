package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// isolationSimulation runs a culprit that is retried after each crash, beside harmless
// requests that are never answered completely and are restarted at another server when theirs
// ends.
type isolationSimulation struct {
	random   *rand.Rand
	gateways []*Quarantine
	servers  []string
	started  int
	// runsAt is the server at which each harmless request runs, through the gateway of its
	// index.
	runsAt  []string
	crashes int
}

func newIsolationSimulation(seed uint64, gateways, servers, harmlessRequests int) *isolationSimulation {
	sim := &isolationSimulation{random: rand.New(rand.NewPCG(seed, 1))}
	for range gateways {
		sim.gateways = append(sim.gateways, NewQuarantine())
	}
	for range servers {
		sim.startServer()
	}
	sim.runsAt = make([]string, harmlessRequests)
	for i := range sim.runsAt {
		sim.run(i)
	}
	return sim
}

// startServer adds a new server.
func (sim *isolationSimulation) startServer() {
	sim.started++
	sim.servers = append(sim.servers, fmt.Sprint("server", sim.started))
}

// harmlessFingerprint returns the fingerprint of a harmless request. Half of them are smaller
// than the culprit's: of two indistinguishable suspects the smaller one is quarantined.
func harmlessFingerprint(i int) Fingerprint { return Fingerprint(2*isolatedCulprit*(i%2) + i + 1) }

const isolatedCulprit = 1000

// pick draws a server for a request, without the ones to avoid if there are others.
func (sim *isolationSimulation) pick(gateway *Quarantine, f Fingerprint) string {
	avoided := gateway.ServersToAvoid(f, serversNamed(sim.servers...))
	candidates := slices.DeleteFunc(slices.Clone(sim.servers), func(s string) bool { return slices.Contains(avoided, s) })
	if len(candidates) == 0 {
		candidates = sim.servers
	}
	return candidates[sim.random.IntN(len(candidates))]
}

// serversNamed returns servers of which only the names matter.
func serversNamed(names ...string) []Server {
	servers := make([]Server, len(names))
	for i, name := range names {
		servers[i].Name = name
	}
	return servers
}

// run starts a harmless request at a server.
func (sim *isolationSimulation) run(i int) {
	gateway := sim.gateways[i%len(sim.gateways)]
	sim.runsAt[i] = sim.pick(gateway, harmlessFingerprint(i))
	gateway.RunStarted(harmlessFingerprint(i), sim.runsAt[i])
}

// runCulprit sends the culprit once. It reports whether the culprit is quarantined instead.
func (sim *isolationSimulation) runCulprit() bool {
	culpritGateway := sim.gateways[sim.random.IntN(len(sim.gateways))]
	if culpritGateway.Quarantined(testStart, isolatedCulprit) {
		return true
	}
	server := sim.pick(culpritGateway, isolatedCulprit)
	sim.crashes++
	sim.servers = slices.DeleteFunc(sim.servers, func(s string) bool { return s == server })
	culpritGateway.ObserveCrash(testStart, isolatedCulprit, KeyOf(server))
	for i, at := range sim.runsAt {
		if at == server {
			gateway := sim.gateways[i%len(sim.gateways)]
			gateway.ObserveCrash(testStart, harmlessFingerprint(i), KeyOf(server))
			gateway.RunEnded(harmlessFingerprint(i), server)
			sim.runsAt[i] = ""
		}
	}
	sim.broadcast()
	for i, at := range sim.runsAt {
		if at == "" {
			sim.run(i)
		}
	}
	sim.startServer()
	return false
}

// broadcast sends every gateway's updates to all others.
func (sim *isolationSimulation) broadcast() {
	for _, from := range sim.gateways {
		updates := from.Updates(testStart)
		for _, to := range sim.gateways {
			if to != from {
				to.Merge(testStart, updates)
			}
		}
	}
}

// Guards against a harmless request that runs beside the culprit at each crash: it would be
// quarantined in the culprit's place, and a fourth server would end.
func TestSuspectsThatShareAllCrashesAreKeptApart(t *testing.T) {
	for _, gateways := range []int{1, 2, 6} {
		t.Run(fmt.Sprint("gateways=", gateways), func(t *testing.T) {
			excessive, refused := 0, 0
			for seed := range uint64(500) {
				sim := newIsolationSimulation(seed, gateways, 6, 12)
				for range 10 {
					if sim.runCulprit() {
						break
					}
				}
				if sim.crashes > quarantineAfter {
					excessive++
				}
				for i := range sim.runsAt {
					if sim.gateways[0].Quarantined(testStart, harmlessFingerprint(i)) {
						refused++
					}
				}
			}
			if excessive > 0 || refused > 0 {
				t.Errorf("%d of 500 culprits ended more than %d servers; %d harmless requests were quarantined", excessive, quarantineAfter, refused)
			}
		})
	}
}

// A request without crashes, with a single one, or with a crash that distinguishes it from the
// others may run anywhere.
func TestOnlyIndistinguishableSuspectsAvoidServers(t *testing.T) {
	q := NewQuarantine()
	servers := serversNamed("a", "b", "c", "d")
	q.ObserveCrash(testStart, 1, KeyOf("x"))
	q.ObserveCrash(testStart, 2, KeyOf("x"))
	if avoided := q.ServersToAvoid(1, servers); avoided != nil {
		t.Errorf("a request with one crash avoids %v", avoided)
	}
	q.ObserveCrash(testStart, 1, KeyOf("y"))
	q.ObserveCrash(testStart, 2, KeyOf("y"))
	q.ObserveCrash(testStart, 2, KeyOf("z"))
	if avoided := q.ServersToAvoid(3, servers); avoided != nil {
		t.Errorf("a request that isn't a suspect avoids %v", avoided)
	}
	if avoided := q.ServersToAvoid(2, servers); avoided != nil {
		t.Errorf("a suspect with a crash of its own avoids %v", avoided)
	}
	q.RunStarted(2, "a")
	q.RunStarted(2, "a")
	q.RunEnded(2, "a")
	if avoided := q.ServersToAvoid(1, servers); !slices.Contains(avoided, "a") || len(avoided) == len(servers) {
		t.Errorf("avoids %v, want the server where the other suspect runs and not all", avoided)
	}
	q.RunEnded(2, "a")
	if len(q.runs) != 0 {
		t.Errorf("ended runs remain: %v", q.runs)
	}
}
