package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// starts are the keys of servers' starts.
func starts(names ...string) []Key {
	keys := make([]Key, len(names))
	for i, name := range names {
		keys[i] = KeyOf(name)
	}
	return keys
}

// A request that comes again after each crash took one server after the other away.
func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	q := NewQuarantine()
	for i, start := range starts("a", "b", "c") {
		if q.Quarantined(testStart, 7) {
			t.Fatalf("quarantined after %d crashes", i)
		}
		q.Crashed(testStart, 7, start)
		q.Crashed(testStart, 7, start)
	}
	if !q.Quarantined(testStart, 7) || q.Quarantined(testStart, 8) || q.Len() != 1 {
		t.Error("want the one under which three servers ended, and no other")
	}
}

// A popular request ran beside the culprit each time: it would be refused for good.
func TestWholeAnswerClearsARequestOfEarlierCrashes(t *testing.T) {
	q := NewQuarantine()
	for _, start := range starts("a", "b") {
		q.Crashed(testStart, 7, start)
	}
	q.Answered(testStart.Add(time.Second), 7)
	later := testStart.Add(2*time.Second + clearedFor)
	q.Crashed(later, 7, KeyOf("c"))
	// News of an earlier crash comes late.
	q.Merge(later, []Suspicion{{Fingerprint: 7, Seen: later, Crashes: []Crash{{KeyOf("d"), testStart}, {KeyOf("e"), testStart}}}})
	if q.Quarantined(testStart, 7) {
		t.Error("a request is quarantined that was answered whole")
	}
}

// What ran beside a culprit at some of its crashes, or at each of several culprits'
// last ones, was refused with it.
func TestInnocentRequestsBesideCulpritsGoOn(t *testing.T) {
	q := NewQuarantine()
	const innocent = 1
	for culprit := Fingerprint(10); culprit < 13; culprit++ {
		for i := range 4 {
			q.Crashed(testStart, culprit, KeyOf(fmt.Sprint(culprit, i)))
		}
		q.Crashed(testStart, innocent, KeyOf(fmt.Sprint(culprit, 3)))
	}
	if q.Quarantined(testStart, innocent) || q.Len() != 3 {
		t.Errorf("%d quarantined, the innocent one %v", q.Len(), q.Quarantined(testStart, innocent))
	}
}

// A request that shared all crashes of a culprit can't be told from it. Where the wrong
// one is quarantined, the culprit's next crash sets it free.
func TestWronglyHeldRequestGoesFreeWithTheNextCrash(t *testing.T) {
	q := NewQuarantine()
	for _, start := range starts("a", "b", "c") {
		q.Crashed(testStart, 1, start)
		q.Crashed(testStart, 2, start)
	}
	if q.Len() != 1 || !q.Quarantined(testStart, 1) {
		t.Fatalf("%d quarantined, want one of the two", q.Len())
	}
	q.Crashed(testStart, 2, KeyOf("d"))
	if q.Quarantined(testStart, 1) || !q.Quarantined(testStart, 2) {
		t.Error("want the one without which the last crash isn't explained")
	}
}

func TestSuspectsAreBoundedAndForgotten(t *testing.T) {
	q := NewQuarantine()
	for _, start := range starts("a", "b", "c") {
		q.Crashed(testStart, 1, start)
	}
	for f := range Fingerprint(2 * mostSuspects) {
		q.Crashed(testStart.Add(time.Second), 100+f, KeyOf("d"))
	}
	if len(q.suspects) > mostSuspects || !q.Quarantined(testStart.Add(time.Second), 1) {
		t.Errorf("%d suspects, the culprit quarantined: %v", len(q.suspects), q.Quarantined(testStart, 1))
	}
	// It comes again now and then.
	now := testStart
	for range 4 {
		now = now.Add(suspectKept / 2)
		q.Quarantined(now, 1)
		q.News(now)
	}
	if len(q.suspects) != 1 || !q.Quarantined(now, 1) {
		t.Errorf("%d suspects after two hours, want the one that goes on coming", len(q.suspects))
	}
	q.News(now.Add(2 * suspectKept))
	if !q.Empty() {
		t.Error("a request that comes no more is remembered")
	}
}

// crashPlay is a request that crashes servers and comes again at senders drawn at
// random, beside innocent ones. Senders tell each other by datagrams that are lost at
// times.
type crashPlay struct {
	senders []*Quarantine
	random  *rand.Rand
	// cut are senders whose datagrams don't get through, either way.
	cut map[int]bool
	now time.Time
	// sent counts the culprit's runs, each of which ends a server, and refused the
	// innocent requests that were quarantined.
	sent, refused int
}

const (
	culprit        = Fingerprint(1)
	gossipInterval = 100 * time.Millisecond
)

func newCrashPlay(senders int, seed uint64) *crashPlay {
	p := &crashPlay{random: rand.New(rand.NewPCG(seed, 1)), cut: map[int]bool{}, now: testStart}
	for range senders {
		p.senders = append(p.senders, NewQuarantine())
	}
	return p
}

// announce has each sender tell the others; a part of the datagrams is lost.
func (p *crashPlay) tell(lost float64) {
	for i, from := range p.senders {
		news := from.News(p.now)
		for j, to := range p.senders {
			if i != j && !p.cut[i] && !p.cut[j] && p.random.Float64() >= lost {
				to.Merge(p.now, news)
			}
		}
	}
}

// step plays the time between two datagrams: the culprit comes at some senders, and
// innocent requests that come once each run on the servers that it ends.
func (p *crashPlay) step(lost float64, times int) {
	for range times {
		at := p.random.IntN(len(p.senders))
		if p.senders[at].Quarantined(p.now, culprit) {
			continue
		}
		p.sent++
		start := KeyOf(fmt.Sprint("server", p.sent))
		p.senders[at].Crashed(p.now, culprit, start)
		for range 5 {
			beside := p.senders[p.random.IntN(len(p.senders))]
			innocent := Fingerprint(100 + p.random.IntN(40))
			if beside.Quarantined(p.now, innocent) {
				p.refused++
			} else {
				beside.Crashed(p.now, innocent, start)
			}
		}
	}
	for range 10 {
		p.senders[p.random.IntN(len(p.senders))].Answered(p.now, Fingerprint(100+p.random.IntN(40)))
	}
	p.tell(lost)
	p.now = p.now.Add(gossipInterval)
}

// Repeats piled up at all senders: each knew of its own crashes only.
func TestSendersQuarantineTogether(t *testing.T) {
	for _, senders := range []int{2, 6, 68} {
		for _, lost := range []float64{0, 0.3} {
			t.Run(fmt.Sprintf("senders=%d lost=%v", senders, lost), func(t *testing.T) {
				p := newCrashPlay(senders, 1)
				for range 100 {
					p.step(lost, 1)
				}
				// The third crash, and a few that are under way before all have heard.
				if p.sent > quarantineAfter+3 {
					t.Errorf("sent %d times in ten seconds", p.sent)
				}
				if p.refused > 0 {
					t.Errorf("%d innocent requests were quarantined", p.refused)
				}
			})
		}
	}
}

// A sender that starts, or comes back, knows of none of the crashes; its own three
// would be three servers more for each start.
func TestSenderThatStartsLearnsWhatIsQuarantined(t *testing.T) {
	p := newCrashPlay(6, 2)
	for range 30 {
		p.step(0, 1)
	}
	sent := p.sent
	for at := range 20 {
		p.senders[at%6] = NewQuarantine()
		p.tell(0.3)
		p.now = p.now.Add(gossipInterval)
		p.tell(0.3)
		p.now = p.now.Add(gossipInterval)
		p.step(0.3, 1)
	}
	if p.sent != sent {
		t.Errorf("sent %d times more by senders that had just started", p.sent-sent)
	}
}

func TestSenderThatWasCutOffLearnsWhatIsQuarantined(t *testing.T) {
	p := newCrashPlay(6, 3)
	p.cut[0] = true
	for range 50 {
		p.step(0, 1)
	}
	p.cut[0] = false
	for range 10 {
		p.tell(0.3)
		p.now = p.now.Add(gossipInterval)
	}
	if !p.senders[0].Quarantined(p.now, culprit) {
		t.Error("a sender that was cut off lets it pass a second after it is back")
	}
}

// Servers that crash of themselves take whatever they run with them. Requests that come
// often are there each time, and would be refused for it.
func TestCrashesWithoutACulpritQuarantineNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	q, now := NewQuarantine(), testStart
	const popular, crashes, beside = 60, 300, 20
	for f := range Fingerprint(popular) {
		q.Answered(now, f)
	}
	for n := range crashes {
		now = now.Add(200 * time.Millisecond)
		start := KeyOf(fmt.Sprint("server", n))
		for i := range beside {
			// Half of what runs is popular; the rest comes once, or once more when it broke off.
			f := Fingerprint(random.IntN(popular))
			if i%2 == 0 {
				f = Fingerprint(1000 + n*beside + i)
			}
			q.Crashed(now, f, start)
			if i%4 == 0 && n > 0 {
				q.Crashed(now, Fingerprint(1000+(n-1)*beside+i), start)
			}
		}
		for range 20 {
			q.Answered(now.Add(50*time.Millisecond), Fingerprint(random.IntN(popular)))
		}
		if held := q.Len(); held > 0 {
			t.Fatalf("%d requests quarantined after %d crashes", held, n+1)
		}
	}
}

// One gateway has answered the request whole, another lost it with a server.
func TestWhoAnsweredARequestSetsItFreeForAll(t *testing.T) {
	a, b := NewQuarantine(), NewQuarantine()
	a.Answered(testStart, 7)
	for _, start := range starts("a", "b", "c") {
		b.Crashed(testStart.Add(time.Second), 7, start)
	}
	now := testStart.Add(2 * time.Second)
	a.Merge(now, b.News(now))
	if a.Quarantined(now, 7) {
		t.Error("quarantined by who answered it")
	}
	if b.Merge(now, a.News(now)); b.Quarantined(now, 7) {
		t.Error("quarantined by who has heard that it was answered")
	}
}

// A request that was harmless crashes servers of the next release.
func TestRequestThatWasAnsweredLongAgoIsQuarantined(t *testing.T) {
	q := NewQuarantine()
	q.Answered(testStart, 7)
	for i, start := range starts("a", "b", "c", "d") {
		q.Crashed(testStart.Add(clearedFor/2+time.Duration(i)*clearedFor), 7, start)
	}
	if !q.Quarantined(testStart, 7) {
		t.Error("not quarantined after three crashes since")
	}
}

// Senders that tell each other of a request in turn kept it in each other's memory after it
// had stayed away for long.
func TestRequestThatStaysAwayIsForgottenByAll(t *testing.T) {
	p := newCrashPlay(6, 5)
	for range 30 {
		p.step(0, 1)
	}
	held := func() int {
		n := 0
		for _, s := range p.senders {
			n += s.Len()
		}
		return n
	}
	if held() != len(p.senders) {
		t.Fatalf("quarantined by %d senders of %d", held(), len(p.senders))
	}
	// It comes again at one sender: all of them go on.
	p.now = p.now.Add(suspectKept / 2)
	p.senders[0].Quarantined(p.now, culprit)
	for range 20 {
		p.tell(0.3)
		p.now = p.now.Add(gossipInterval)
	}
	p.now = p.now.Add(suspectKept * 3 / 4)
	for range 20 {
		p.tell(0.3)
		p.now = p.now.Add(gossipInterval)
	}
	if held() != len(p.senders) {
		t.Errorf("quarantined by %d senders of %d, though it came three quarters of an hour ago", held(), len(p.senders))
	}
	for range 60 {
		p.now = p.now.Add(time.Minute)
		p.tell(0.3)
	}
	if held() != 0 {
		t.Errorf("quarantined by %d senders after it has stayed away", held())
	}
}
