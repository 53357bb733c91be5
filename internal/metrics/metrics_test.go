package metrics

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sebdah/goldie/v2"
	"github.com/sourcegraph/conc"
)

func formatText(t *testing.T, m *Metrics) string {
	t.Helper()
	var out bytes.Buffer
	if err := writeText(&out, m.registry); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestTextFormat(t *testing.T) {
	m := New()
	flag := m.ForClass("hazard-flag")
	for range 3 {
		flag.Received()
	}
	flag.ObserveFirstToken(320 * time.Millisecond)
	flag.ObserveLongestPause(150 * time.Millisecond)
	flag.Finished(OnTime, 40)
	flag.Finished(Late, 50)
	flag.Refused("overload")
	flag.ReceivedPromptTokens(900)
	flag.RefusedPromptTokens("overload", 700)
	flag.WastedTokens(7)
	summary := m.ForClass("summary \"long\"\n")
	summary.Received()
	summary.OutcomeUnknown()
	summary.Retried()
	summary.Failed()
	summary.Cancelled()
	m.Queue.Set(4, 3, 8)
	m.Control.Sent(100)
	m.Control.Received(20)
	m.Platform.Read(nil)
	m.Platform.Write(errors.New("down"))
	m.StoreCallCounter("targets")()
	m.SetTargetsVersion(12)
	goldie.New(t).Assert(t, "text", []byte(formatText(t, m)))
}

func TestClassesAreBounded(t *testing.T) {
	m := New()
	for i := range 3 * MaxClasses {
		m.ForClass(fmt.Sprintf("class-%d", i)).Received()
	}
	got := formatText(t, m)
	if n := strings.Count(got, string(familyReceived)+"{"); n != MaxClasses+1 {
		t.Errorf("got %d series, want %d", n, MaxClasses+1)
	}
	want := fmt.Sprintf("%s{class=\"other\"} %d\n", familyReceived, 2*MaxClasses)
	if !strings.Contains(got, want) {
		t.Errorf("no %q", want)
	}
}

func TestReasonsAreBounded(t *testing.T) {
	m := New()
	for i := range 3 * MaxReasons {
		m.ForClass("flag").Refused(Reason(fmt.Sprintf("reason-%d", i)))
	}
	want := fmt.Sprintf("%s{class=\"flag\",reason=\"other\"} %d\n", familyRefused, 2*MaxReasons)
	if got := formatText(t, m); !strings.Contains(got, want) {
		t.Errorf("no %q in\n%s", want, got)
	}
}

// Updates and scrapes by several goroutines must not lose counts.
func TestConcurrentUpdates(t *testing.T) {
	const workers, rounds = 8, 200
	m := New()
	var group conc.WaitGroup
	for range workers {
		group.Go(func() {
			for range rounds {
				class := m.ForClass("flag")
				class.Received()
				class.Refused("overload")
				m.Control.Sent(1)
				formatText(t, m)
			}
		})
	}
	group.Wait()
	want := fmt.Sprintf("%s{class=\"flag\"} %d\n", familyReceived, workers*rounds)
	if got := formatText(t, m); !strings.Contains(got, want) {
		t.Errorf("no %q", want)
	}
}

// Each path must return the current state, and scrape hooks must run before the
// metrics are written.
func TestPaths(t *testing.T) {
	m := New()
	m.ForClass("flag").Received()
	m.OnScrape(func() { m.SetTargetsVersion(7) })
	state := errors.New("starting")
	ready := Readiness(func() error { return state })
	router := httprouter.New()
	Register(router, m, ready)
	get := func(path string) (int, string) {
		recorder := httptest.NewRecorder()
		router.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Code, recorder.Body.String()
	}
	expect := func(path string, wantCode int, wantBody string) {
		t.Helper()
		if code, body := get(path); code != wantCode || !strings.Contains(body, wantBody) {
			t.Errorf("%s: got %d %q, want %d and %q", path, code, body, wantCode, wantBody)
		}
	}
	expect(PathHealth, http.StatusOK, "ok")
	expect(PathReady, http.StatusServiceUnavailable, "not ready: starting")
	state = nil
	expect(PathReady, http.StatusOK, "ready")
	state = errors.New("stopping")
	expect(PathReady, http.StatusServiceUnavailable, "not ready: stopping")
	expect(PathMetrics, http.StatusOK, `applepier_requests_received_total{class="flag"} 1`)
	expect(PathMetrics, http.StatusOK, string(familyTargetsVersion)+" 7")
	expect(PathMetrics, http.StatusOK, string(familyCPU)+" ")
	expect(PathMetrics, http.StatusOK, string(familyMemory)+" ")
}
