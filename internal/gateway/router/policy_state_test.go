package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/routes"
	"github.com/applepier/applepier/policy"
)

// alone is a gateway that hears of no other.
type noPeers struct{}

func (noPeers) At(string) backend.Counts        { return backend.Counts{} }
func (noPeers) Shortage(string) policy.Shortage { return policy.Shortage{} }
func (noPeers) LimitedSends(policy.Key) float64 { return 0 }
func (noPeers) Gateways() int                   { return 1 }
func (noPeers) Unseen() time.Duration           { return 100 * time.Millisecond }

func newTestRouter() *Router {
	ejector, index := policy.NewEjector(), policy.NewPrefixIndex()
	return New(Config{
		Holder: &routes.Holder{}, Others: noPeers{}, Gateways: func() int { return 1 }, Ejector: ejector, Index: index,
		Chooser: policy.NewChooser(rand.New(rand.NewPCG(1, 2)), ejector, index),
	}, Bounds{}, func() bool { return false })
}

// chosen counts where requests of a service go.
func countChoices(r *Router, pauseTarget time.Duration) map[string]int {
	counts := map[string]int{}
	for range 60 {
		loads := []policy.Server{{Name: "a", Slots: 8}, {Name: "b", Slots: 8}, {Name: "c", Slots: 8}}
		job := policy.Job{Urgency: 3, Target: 250 * time.Millisecond, Tokens: 800}
		if choice := r.runChooser("s", job, pauseTarget, loads, true); choice.InTime {
			counts[loads[choice.At].Name]++
		}
	}
	return counts
}

// What other gateways tell of a server that answers nobody keeps this one's requests
// away, until one of them tells of an answer.
func TestUnresponsiveServerReportedByPeers(t *testing.T) {
	r := newTestRouter()
	unresponsive := policy.KeyOf("b")
	for range 5 {
		r.Merge(policy.News{Unanswered: []policy.Key{unresponsive, unresponsive}})
	}
	if counts := countChoices(r, 0); counts["b"] != 0 || counts["a"] == 0 || counts["c"] == 0 {
		t.Errorf("chosen %v, b answers nobody", counts)
	}
	r.Merge(policy.News{Firsts: []policy.FirstToken{{Service: policy.KeyOf("s"), Server: unresponsive, Urgency: 3, Ahead: 800, Took: 100 * time.Millisecond}}})
	if counts := countChoices(r, 0); counts["b"] == 0 {
		t.Errorf("chosen %v, b has answered another gateway", counts)
	}
	// What this gateway learns itself it tells others.
	r.recordUnanswered("c")
	if news := r.News(); len(news.Unanswered) != 1 || news.Unanswered[0] != policy.KeyOf("c") {
		t.Errorf("told %v of a request without an answer from c", news.Unanswered)
	}
	if news := r.News(); len(news.Unanswered) != 0 {
		t.Errorf("told %v again", news.Unanswered)
	}
}

// Streams with a target for their pauses go where these are short, by what other
// gateways tell; a route without one goes anywhere.
func TestPausesReportedByPeers(t *testing.T) {
	r := newTestRouter()
	countChoices(r, 0)
	reportPause := func(server string, longest time.Duration) {
		r.Merge(policy.News{Pauses: []policy.Pause{{Service: policy.KeyOf("s"), Server: policy.KeyOf(server), Urgency: 3, Longest: longest}}})
	}
	for range 20 {
		reportPause("a", 90*time.Millisecond)
		reportPause("b", 150*time.Millisecond)
		reportPause("c", 92*time.Millisecond)
	}
	// A prompt that shares nothing looks at three servers that are drawn, which may be
	// one and the same.
	if counts := countChoices(r, 120*time.Millisecond); 6*counts["b"] > counts["a"]+counts["b"]+counts["c"] {
		t.Errorf("chosen %v, pauses at b are too long", counts)
	}
	if counts := countChoices(r, 0); counts["b"] == 0 {
		t.Errorf("chosen %v without a target for pauses", counts)
	}
	// A server that starts anew is as any other.
	r.Forget("b")
	if counts := countChoices(r, 120*time.Millisecond); counts["b"] == 0 {
		t.Errorf("chosen %v, b has started anew", counts)
	}
}

// Guards against long prompts being starved under load: where a prompt of the class's mean
// length would be in time, a long one is admitted too.
func TestLongPromptsAdmittedByRouteMean(t *testing.T) {
	r := newTestRouter()
	for range 100 {
		r.observePromptSize("s", "summary", 4000)
	}
	admitted := func(tokens int, mean float64) bool {
		loads := []policy.Server{{Name: "a", Slots: 8}, {Name: "b", Slots: 8}}
		for i := range loads {
			loads[i].Pending[3].Requests, loads[i].Pending[3].Tokens = 2, 6000
		}
		job := policy.Job{Urgency: 3, Target: 500 * time.Millisecond, Tokens: tokens, MeanTokens: mean}
		return r.runChooser("s", job, 0, loads, true).InTime
	}
	const longPrompt = 20_000
	if !admitted(4000, 0) || admitted(longPrompt, 0) {
		t.Fatal("judged by their own length the short prompt is to be admitted and the long one isn't")
	}
	if !admitted(longPrompt, r.observePromptSize("s", "summary", longPrompt)) {
		t.Error("a long prompt is refused where one of the mean length is admitted")
	}
}
