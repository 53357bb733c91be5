package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// apartPlay is a culprit that comes again after each crash, beside innocent requests that were
// never answered whole and run anew at another server when theirs ends.
type apartPlay struct {
	random  *rand.Rand
	senders []*Quarantine
	servers []string
	started int
	// at is where each innocent request runs, through the sender of its place.
	at      []string
	crashes int
}

func newApartPlay(seed uint64, senders, servers, innocents int) *apartPlay {
	p := &apartPlay{random: rand.New(rand.NewPCG(seed, 1))}
	for range senders {
		p.senders = append(p.senders, NewQuarantine())
	}
	for range servers {
		p.start()
	}
	p.at = make([]string, innocents)
	for i := range p.at {
		p.run(i)
	}
	return p
}

func (p *apartPlay) start() {
	p.started++
	p.servers = append(p.servers, fmt.Sprint("server", p.started))
}

// innocentAt is the fingerprint of an innocent request; smaller than the culprit's for half of
// them, and the smaller one of two is quarantined.
func innocentAt(i int) Fingerprint { return Fingerprint(2*culpritApart*(i%2) + i + 1) }

const culpritApart = 1000

func (p *apartPlay) pick(q *Quarantine, f Fingerprint) string {
	avoided := q.Avoided(f, named(p.servers...))
	left := slices.DeleteFunc(slices.Clone(p.servers), func(s string) bool { return slices.Contains(avoided, s) })
	if len(left) == 0 {
		left = p.servers
	}
	return left[p.random.IntN(len(left))]
}

// named are servers of which nothing but the names matters.
func named(names ...string) []Server {
	servers := make([]Server, len(names))
	for i, name := range names {
		servers[i].Name = name
	}
	return servers
}

func (p *apartPlay) run(i int) {
	q := p.senders[i%len(p.senders)]
	p.at[i] = p.pick(q, innocentAt(i))
	q.Began(innocentAt(i), p.at[i])
}

// comes has the culprit come once; it reports whether it is quarantined.
func (p *apartPlay) comes() bool {
	q := p.senders[p.random.IntN(len(p.senders))]
	if q.Quarantined(testStart, culpritApart) {
		return true
	}
	server := p.pick(q, culpritApart)
	p.crashes++
	p.servers = slices.DeleteFunc(p.servers, func(s string) bool { return s == server })
	q.Crashed(testStart, culpritApart, KeyOf(server))
	for i, at := range p.at {
		if at == server {
			sender := p.senders[i%len(p.senders)]
			sender.Crashed(testStart, innocentAt(i), KeyOf(server))
			sender.Ended(innocentAt(i), server)
			p.at[i] = ""
		}
	}
	p.broadcast()
	for i, at := range p.at {
		if at == "" {
			p.run(i)
		}
	}
	p.start()
	return false
}

func (p *apartPlay) broadcast() {
	for _, from := range p.senders {
		news := from.News(testStart)
		for _, to := range p.senders {
			if to != from {
				to.Merge(testStart, news)
			}
		}
	}
}

// Guards against a fourth server ending, and an innocent request being refused, where that ran
// beside the culprit at each crash.
func TestSuspectsThatShareAllCrashesAreKeptApart(t *testing.T) {
	for _, senders := range []int{1, 2, 6} {
		t.Run(fmt.Sprint("senders=", senders), func(t *testing.T) {
			more, refused := 0, 0
			for seed := range uint64(500) {
				p := newApartPlay(seed, senders, 6, 12)
				for range 10 {
					if p.comes() {
						break
					}
				}
				if p.crashes > quarantineAfter {
					more++
				}
				for i := range p.at {
					if p.senders[0].Quarantined(testStart, innocentAt(i)) {
						refused++
					}
				}
			}
			if more > 0 || refused > 0 {
				t.Errorf("of 500 culprits %d ended more than %d servers, %d innocent requests were quarantined", more, quarantineAfter, refused)
			}
		})
	}
}

// A request that hasn't run beside a server's end, or is distinguished from the others, goes anywhere.
func TestOnlySuspectsThatCannotBeToldApartAvoidServers(t *testing.T) {
	q := NewQuarantine()
	servers := named("a", "b", "c", "d")
	q.Crashed(testStart, 1, KeyOf("x"))
	q.Crashed(testStart, 2, KeyOf("x"))
	if avoided := q.Avoided(1, servers); avoided != nil {
		t.Errorf("a request with one crash avoids %v", avoided)
	}
	q.Crashed(testStart, 1, KeyOf("y"))
	q.Crashed(testStart, 2, KeyOf("y"))
	q.Crashed(testStart, 2, KeyOf("z"))
	if avoided := q.Avoided(3, servers); avoided != nil {
		t.Errorf("a request that isn't suspected avoids %v", avoided)
	}
	if avoided := q.Avoided(2, servers); avoided != nil {
		t.Errorf("a suspect with a crash of its own avoids %v", avoided)
	}
	q.Began(2, "a")
	q.Began(2, "a")
	q.Ended(2, "a")
	if avoided := q.Avoided(1, servers); !slices.Contains(avoided, "a") || len(avoided) == len(servers) {
		t.Errorf("avoided are %v, want the server where the other runs and not all", avoided)
	}
	q.Ended(2, "a")
	if len(q.runs) != 0 {
		t.Errorf("%v left of runs that have ended", q.runs)
	}
}
