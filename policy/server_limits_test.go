package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// limitSender is a sender of a limitPlay.
type limitSender struct {
	limits  *ServerLimits
	offers  ShortageCount
	chooser *Chooser
	// told is what each other sender told last, and when that came.
	told map[int]toldLimits
	// tellAt is when it tells next.
	tellAt time.Time
	cut    bool
}

// toldLimits is what one sender tells of limits and offers.
type toldLimits struct {
	limits []ServerLimit
	offers Shortage
	at     time.Time
}

// limitPlay is senders before servers that have named a limit. Each request is sent to
// the server that the sender's chooser names, or refused.
type limitPlay struct {
	t       *testing.T
	random  *rand.Rand
	senders []*limitSender
	servers []Server
	rate    float64
	// late is how long a datagram takes, and lost the part that doesn't come.
	late time.Duration
	lost float64
	now  time.Time
	// onWay are the datagrams on their way.
	onWay []limitDatagram
	// reached is when requests reached each server, and refused counts the others.
	reached [][]time.Time
	asked   int
	refused int
}

type limitDatagram struct {
	from, to int
	at       time.Time
	told     toldLimits
}

const (
	// burstSeeds is how many plays of bursts there are.
	burstSeeds = 4
	// playSilentAfter is how long what a sender told counts.
	playSilentAfter = time.Second
	limitStep       = time.Millisecond
)

func newLimitPlay(t *testing.T, senders, servers int, rate float64) *limitPlay {
	p := &limitPlay{t: t, random: rand.New(rand.NewPCG(uint64(senders), 7)), rate: rate, now: testStart, late: 2 * time.Millisecond}
	for range senders {
		p.senders = append(p.senders, p.newSender())
	}
	for i := range servers {
		p.servers = append(p.servers, Server{Name: fmt.Sprint("server", i), Start: KeyOf(fmt.Sprint("server", i)), Zone: "z", Slots: 64})
	}
	p.reached = make([][]time.Time, servers)
	return p
}

func (p *limitPlay) newSender() *limitSender {
	s := &limitSender{
		limits: NewServerLimits(), told: map[int]toldLimits{},
		chooser: NewChooser(rand.New(rand.NewPCG(p.random.Uint64(), 1)), NewEjector(), NewPrefixIndex()),
		tellAt:  p.now.Add(time.Duration(p.random.Int64N(int64(gossipInterval)))),
	}
	return s
}

// run plays a time in which so many requests a second come, each at the sender that
// draw names.
func (p *limitPlay) run(d time.Duration, perSecond float64, draw func() int) {
	for until := p.now.Add(d); p.now.Before(until); p.now = p.now.Add(limitStep) {
		p.deliver()
		for i, s := range p.senders {
			if !p.now.Before(s.tellAt) {
				s.tellAt = s.tellAt.Add(gossipInterval)
				p.tell(i)
			}
		}
		for left := perSecond * limitStep.Seconds(); left > 0; left-- {
			if p.random.Float64() < left {
				p.ask(draw())
			}
		}
	}
}

func (p *limitPlay) tell(from int) {
	s := p.senders[from]
	told := toldLimits{limits: s.limits.News(p.now), offers: s.offers.Counts(p.now)}
	for to, other := range p.senders {
		if to != from && !s.cut && !other.cut && p.random.Float64() >= p.lost {
			p.onWay = append(p.onWay, limitDatagram{from: from, to: to, at: p.now.Add(p.late), told: told})
		}
	}
}

// deliver hands over what has come; all datagrams take as long, so that the first sent
// comes first.
func (p *limitPlay) deliver() {
	for len(p.onWay) > 0 && !p.now.Before(p.onWay[0].at) {
		d := p.onWay[0]
		p.onWay = p.onWay[1:]
		d.told.at = p.now
		to := p.senders[d.to]
		to.told[d.from] = d.told
		to.limits.Merge(d.told.limits)
	}
}

// ask has a sender choose for one request, and tells it the limit if it was sent.
func (p *limitPlay) ask(at int) {
	s := p.senders[at]
	p.asked++
	heard, sent, offers := 1, map[Key]float64{}, Shortage{}
	for _, t := range s.told {
		if p.now.Sub(t.at) > playSilentAfter {
			continue
		}
		heard++
		offers.Add(&t.offers, 1)
		for _, l := range t.limits {
			sent[l.Server] += l.Sent
		}
	}
	job := Job{Zone: "z", UnseenOffers: offers.Within(gossipInterval), OtherSenders: float64(heard - 1)}
	servers := append([]Server(nil), p.servers...)
	for i := range servers {
		servers[i].Allowance, servers[i].Limited = s.limits.Allowance(p.now, servers[i].Start, sent[servers[i].Start], float64(heard)/float64(len(p.senders)))
	}
	s.limits.Draw(p.now, p.random, &job, servers)
	choice := s.chooser.Choose(p.now, job, servers, nil)
	s.offers.Offered(p.now, 0, choice.Limited)
	if !choice.Found {
		p.refused++
		return
	}
	key := servers[choice.At].Start
	s.limits.Sent(p.now, key)
	p.reached[choice.At] = append(p.reached[choice.At], p.now)
	s.limits.Named(p.now, key, p.rate)
}

// anySender draws a sender evenly.
func (p *limitPlay) anySender() int { return p.random.IntN(len(p.senders)) }

// expectKept checks the sum in each four seconds at each server from a moment on: one and
// a half times the limit and five for what is on its way.
func (p *limitPlay) expectKept(from time.Time) {
	p.t.Helper()
	const window = 4 * time.Second
	allowed := 1.5*p.rate*window.Seconds() + 5
	worst := 0
	for _, times := range p.reached {
		first := 0
		for i, at := range times {
			for times[first].Before(from) || at.Sub(times[first]) > window {
				if first == i {
					break
				}
				first++
			}
			worst = max(worst, i-first+1)
		}
	}
	p.t.Logf("at most %d within %v, %.0f are allowed", worst, window, allowed)
	if float64(worst) > allowed {
		p.t.Errorf("%d requests within %v at a limit of %v a second, %.0f are allowed", worst, window, p.rate, allowed)
	}
}

// expectUsed checks that servers get about their limits from a moment on.
func (p *limitPlay) expectUsed(from time.Time, least, most float64) {
	p.t.Helper()
	for server, times := range p.reached {
		n := 0
		for _, at := range times {
			if !at.Before(from) {
				n++
			}
		}
		if share := float64(n) / p.now.Sub(from).Seconds() / p.rate; share < least || share > most {
			p.t.Errorf("server %d gets %.2f of its limit, want %.2f to %.2f", server, share, least, most)
		}
	}
}

// Each of dozens of senders that keeps to a server's limit by itself sends dozens of times
// what it takes.
func TestSendersKeepToALimitTogether(t *testing.T) {
	for _, c := range []struct {
		senders   int
		rate      float64
		perSecond float64
		late      time.Duration
		lost      float64
	}{
		{senders: 6, rate: 1.8, perSecond: 100, late: 2 * time.Millisecond},
		{senders: 68, rate: 1.6, perSecond: 600, late: 2 * time.Millisecond},
		{senders: 68, rate: 1.6, perSecond: 600, late: 100 * time.Millisecond, lost: 0.3},
		{senders: 68, rate: 1.6, perSecond: 20, late: 2 * time.Millisecond},
		{senders: 68, rate: 40, perSecond: 600, late: 2 * time.Millisecond},
		{senders: 24, rate: 0.2, perSecond: 600, late: 2 * time.Millisecond},
		{senders: 6, rate: 40, perSecond: 100, late: 300 * time.Millisecond, lost: 0.1},
	} {
		t.Run(fmt.Sprintf("senders=%d rate=%v of %v late=%v lost=%v", c.senders, c.rate, c.perSecond, c.late, c.lost), func(t *testing.T) {
			t.Parallel()
			p := newLimitPlay(t, c.senders, 1, c.rate)
			p.late, p.lost = c.late, c.lost
			// As long as some dozens of requests take at the limit.
			requests := func(n float64) time.Duration { return time.Duration(n / c.rate * float64(time.Second)) }
			p.run(max(3*time.Second, requests(8)), c.perSecond, p.anySender)
			settled := p.now
			p.run(max(20*time.Second, min(requests(100), 200*time.Second)), c.perSecond, p.anySender)
			p.expectKept(testStart.Add(500 * time.Millisecond))
			p.expectUsed(settled, 0.9, 1.2)
		})
	}
}

// burstsOf plays callers that come in bursts, all at once and at all senders.
func burstsOf(t *testing.T, seed uint64, times float64) {
	p := newLimitPlay(t, 68, 2, 1.6)
	p.random = rand.New(rand.NewPCG(seed, 7))
	for range 6 {
		p.run(3*time.Second, 60, p.anySender)
		p.run(2*time.Second, times*60, p.anySender)
	}
	p.expectKept(testStart.Add(500 * time.Millisecond))
}

// Senders judge by what was asked lately how many others have a request for the room that
// they see.
func TestBurstsKeepToALimit(t *testing.T) {
	t.Parallel()
	for seed := range uint64(burstSeeds) {
		burstsOf(t, seed, 10)
	}
}

// A rise from one moment to the next finds as many senders that saw room as there are.
func TestSuddenBurstsKeepToALimit(t *testing.T) {
	t.Parallel()
	for seed := range uint64(burstSeeds) {
		burstsOf(t, seed, 20)
	}
}

// An equal part of the limit for each sender would starve the one that has the load.
func TestSenderWithAllTheLoadUsesTheLimit(t *testing.T) {
	t.Parallel()
	p := newLimitPlay(t, 68, 1, 1.6)
	p.run(3*time.Second, 40, func() int { return 0 })
	settled := p.now
	p.run(20*time.Second, 40, func() int { return 0 })
	p.expectKept(testStart.Add(500 * time.Millisecond))
	p.expectUsed(settled, 0.9, 1.2)
}

// Where many servers have limits they are used, and one without gets the rest.
func TestLimitsOfManyServersAreUsed(t *testing.T) {
	t.Parallel()
	p := newLimitPlay(t, 12, 24, 2)
	p.run(4*time.Second, 200, p.anySender)
	settled := p.now
	p.run(20*time.Second, 200, p.anySender)
	p.expectKept(testStart.Add(500 * time.Millisecond))
	p.expectUsed(settled, 0.85, 1.2)
}

// Senders that start know nothing of the limit until they hear of it, or find out.
func TestSendersThatStartKeepToALimit(t *testing.T) {
	t.Parallel()
	p := newLimitPlay(t, 12, 1, 2)
	p.run(2*time.Second, 100, p.anySender)
	for i := range 24 {
		p.senders[i%12] = p.newSender()
		p.run(500*time.Millisecond, 100, p.anySender)
	}
	p.expectKept(testStart.Add(500 * time.Millisecond))
}

// Senders that don't hear of each other keep to their parts.
func TestSendersThatAreCutOffKeepToALimit(t *testing.T) {
	t.Parallel()
	p := newLimitPlay(t, 12, 1, 6)
	p.run(2*time.Second, 200, p.anySender)
	for i := range 6 {
		p.senders[i].cut = true
	}
	p.run(2*time.Second, 200, p.anySender)
	settled := p.now
	p.run(20*time.Second, 200, p.anySender)
	p.expectKept(testStart.Add(500 * time.Millisecond))
	p.expectUsed(settled, 0.5, 1.2)
}

// What is less urgent leaves a limit's room to what is more so.
func TestLimitIsLeftToTheUrgent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	beyond := func(yield float64) bool {
		l := NewServerLimits()
		l.Named(testStart, 1, 4)
		l.Sent(testStart, 1)
		l.Sent(testStart, 1)
		servers := []Server{{Name: "a", Start: 1}}
		servers[0].Allowance, servers[0].Limited = l.Allowance(testStart, 1, 0, 1)
		l.Draw(testStart, random, &Job{Headroom: yield}, servers)
		choice := NewChooser(random, NewEjector(), NewPrefixIndex()).Choose(testStart, Job{Headroom: yield}, servers, nil)
		return !choice.Found && choice.Limited
	}
	if beyond(0) || !beyond(0.4) {
		t.Errorf("beyond the limit: %v where nothing yields, %v where two fifths do", beyond(0), beyond(0.4))
	}
}

func TestRefusalTellsWhenALimitHasRoom(t *testing.T) {
	l, now := NewServerLimits(), testStart
	l.Named(now, 1, 1)
	for range 4 {
		l.Sent(now, 1)
	}
	a, limited := l.Allowance(now, 1, 0, 1)
	if !limited || a.Left > 0 || a.FreeIn <= 0 {
		t.Fatalf("got %+v, %v after four requests at one a second", a, limited)
	}
	if a, _ := l.Allowance(now.Add(a.FreeIn-50*time.Millisecond), 1, 0, 1); a.Left > 0 {
		t.Errorf("room before it is told: %+v", a)
	}
	if a, _ := l.Allowance(now.Add(a.FreeIn+50*time.Millisecond), 1, 0, 1); a.Left <= 0 {
		t.Errorf("no room when it is told: %+v", a)
	}
}

// Answers on different connections overtake each other.
func TestAnswerToAnEarlierRequestLiftsNoLimit(t *testing.T) {
	l := NewServerLimits()
	l.Named(testStart, 1, 2)
	if l.Unnamed(testStart.Add(-time.Millisecond), 1) || l.Limited() != 1 {
		t.Error("lifted by an answer that may have been made before")
	}
	others := NewServerLimits()
	others.Merge(l.News(testStart))
	if !l.Unnamed(testStart.Add(time.Millisecond), 1) || l.Limited() != 0 {
		t.Error("not lifted by an answer that names none")
	}
	if others.Merge(l.News(testStart)); others.Limited() != 0 {
		t.Error("another sender hasn't heard that it was lifted")
	}
	// Older news comes late.
	others.Merge([]ServerLimit{{Server: 1, Evidence: Evidence{Rate: 2, At: testStart}}})
	if others.Limited() != 0 {
		t.Error("older news names a limit that was lifted")
	}
	if l.News(testStart.Add(2 * liftToldFor)); l.Empty() {
		t.Error("forgotten before all have heard of it")
	}
	if l.News(testStart.Add(2 * limitKept)); !l.Empty() {
		t.Error("remembered for good")
	}
}
