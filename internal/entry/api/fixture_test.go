package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
)

// fixture is an API whose dispatcher holds requests until they are let go.
type fixture struct {
	t        testing.TB
	api      *API
	router   *httprouter.Router
	observed *observed
	begun    chan string
	letGo    chan struct{}
	others   int64
}

func newFixture(t testing.TB, claims Claims) *fixture {
	t.Helper()
	f := &fixture{t: t, router: httprouter.New(), observed: &observed{}, begun: make(chan string), letGo: make(chan struct{})}
	holder := targets.NewHolder()
	holder.Offer(&targets.Set{Version: 1, Classes: []targets.Class{
		{Name: "urgent", Tier: 1, Model: "m"},
		{Name: "lower", Tier: 2, Model: "m"},
		{Name: "only", Tier: 2, Model: "n"},
		{Name: "only-urgent", Tier: 0, Model: "u"},
		{Name: "gate", Tier: 3, Service: "gate"},
	}})
	f.api = New(Config{
		Holder: holder, Dispatcher: f, Served: f, Auth: f, Claims: claims, Observer: f.observed,
		Ring: timeline.NewRing("e", &timeline.Clock{}, 16), Log: zap.NewNop(),
	})
	f.api.Register(f.router)
	return f
}

// Do implements Dispatcher.
func (f *fixture) Do(_ context.Context, r *dispatch.Request, _ dispatch.Sink) dispatch.Result {
	f.begun <- r.Class.Name
	<-f.letGo
	return dispatch.Result{Outcome: dispatch.Whole}
}

// Serves implements Served.
func (f *fixture) Serves() []string { return []string{"m", "n", "u"} }

// Caller implements Authenticator.
func (f *fixture) Caller(*targets.Set, *http.Request) (string, error) { return "customer", nil }

func chatBody(model string, bytes int) string {
	head := `{"model":"` + model + `","messages":[{"role":"user","content":"`
	return head + strings.Repeat("x", bytes-len(head)-4) + `"}]}`
}

func chatCall(class, model string, bytes int) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody(model, bytes)))
	if class != "" {
		r.Header.Set(HeaderClass, class)
	}
	return r
}

// send sends a call until the dispatcher has it, whose class is then returned,
// or until it is answered.
func (f *fixture) send(r *http.Request) (class string, answered *httptest.ResponseRecorder) {
	f.t.Helper()
	answer := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		w := httptest.NewRecorder()
		f.router.ServeHTTP(w, r)
		answer <- w
	}()
	select {
	case class := <-f.begun:
		return class, nil
	case w := <-answer:
		return "", w
	case <-time.After(time.Minute):
		f.t.Fatal("neither dispatched nor answered")
		return "", nil
	}
}

// hold sends a call that the dispatcher must get and hold.
func (f *fixture) hold(r *http.Request, class string) {
	f.t.Helper()
	got, w := f.send(r)
	if w != nil {
		f.t.Fatalf("not dispatched: %d %s", w.Code, w.Body)
	}
	if got != class {
		f.t.Fatalf("class %s, want %s", got, class)
	}
}

// refuse sends a call that must be answered as not run without a dispatch.
func (f *fixture) refuse(r *http.Request, reason string) {
	f.t.Helper()
	class, w := f.send(r)
	if w == nil {
		f.t.Fatalf("class %s was dispatched, want a refusal for %s", class, reason)
	}
	h := w.Header()
	if w.Code != http.StatusServiceUnavailable || h.Get(HeaderOutcome) != "not_run" || h.Get("Retry-After") == "" || !strings.Contains(w.Body.String(), reason) {
		f.t.Fatalf("got %d %v %s, want a refusal for %s", w.Code, h, w.Body, reason)
	}
}

// holdOthers takes bytes as the bodies of calls that the test doesn't make.
func (f *fixture) holdOthers(bytes int64) {
	f.others += bytes
	f.api.held.acquire(bytes, maxHeld)
}

// letAllGo ends the calls that are held and waits until they have ended.
func (f *fixture) letAllGo() {
	f.t.Helper()
	close(f.letGo)
	for deadline := time.Now().Add(time.Minute); f.api.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatal("calls did not end")
		}
	}
	if held := f.api.held.used - f.others; held != 0 {
		f.t.Fatalf("%d bytes are still held", held)
	}
}

// observed notes what an Observer hears, a line each.
type observed struct {
	mu    sync.Mutex
	lines []string
}

func (o *observed) note(words ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lines = append(o.lines, strings.Join(words, " "))
}

func (o *observed) heard() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.lines)
}

// Received implements Observer.
func (o *observed) Received(class string) { o.note("received", class) }

// Refused implements Observer.
func (o *observed) Refused(class, reason string) { o.note("refused", class, reason) }

// Ended implements Observer.
func (o *observed) Ended(class targets.Class, r dispatch.Result, _ time.Duration) {
	o.note("ended", class.Name, string(r.Outcome), r.Reason)
}
