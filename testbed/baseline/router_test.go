package baseline_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/baseline"
	"github.com/applepier/applepier/testbed/engine"
)

// testTimeout bounds each wait for an expected event.
const testTimeout = 20 * time.Second

func startEngine(t *testing.T) (*engine.Server, string) {
	t.Helper()
	server, err := engine.New(engine.Config{Model: "m", TokenInterval: 100 * time.Microsecond, LoadReportInterval: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	web := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		web.Close()
	})
	return server, web.URL
}

// sendChat sends a request and returns the events of its response.
func sendChat(t *testing.T, url, prompt string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	body := strings.NewReader(chatBody(prompt))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func chatBody(prompt string) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":3}`, prompt)
}

// TestRoundRobinTakesEnginesInTurn guards against an uneven distribution and against
// responses that lack tokens or the end marker.
func TestRoundRobinTakesEnginesInTurn(t *testing.T) {
	first, firstURL := startEngine(t)
	second, secondURL := startEngine(t)
	router, err := baseline.Start(baseline.RoundRobin, []string{firstURL, secondURL}, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer router.Close()
	for i := range 6 {
		prompt := fmt.Sprint("prompt ", i)
		text := sendChat(t, router.URL, prompt)
		for _, token := range engine.ResponseTokens([]byte(chatBody(prompt))) {
			if !strings.Contains(text, token) {
				t.Fatalf("token %q is missing", token)
			}
		}
		if !strings.HasSuffix(text, "data: [DONE]\n\n") {
			t.Fatal("the end marker is missing")
		}
	}
	if a, b := len(first.Records()), len(second.Records()); a != 3 || b != 3 {
		t.Errorf("runs: %d and %d, want 3 each", a, b)
	}
}

// TestLeastLoadAvoidsTheLoadedEngine guards against a router that ignores the reported
// load: three requests in succession must reach the idle engine.
func TestLeastLoadAvoidsTheLoadedEngine(t *testing.T) {
	busy, busyURL := startEngine(t)
	idle, idleURL := startEngine(t)
	busy.SetKnobs(func(k *engine.Knobs) { k.ExternalStreams = 3 })
	router, err := baseline.Start(baseline.LeastLoad, []string{busyURL, idleURL}, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer router.Close()
	// The router may not have read the first load report yet.
	deadline := time.Now().Add(testTimeout)
	for consecutive := 0; consecutive < 3; {
		if time.Now().After(deadline) {
			t.Fatal("requests still go to the loaded engine")
		}
		before := len(idle.Records())
		sendChat(t, router.URL, "x")
		consecutive++
		if len(idle.Records()) == before {
			consecutive = 0
		}
	}
}

// TestUnknownBaseline guards against an error that doesn't list the available names.
func TestUnknownBaseline(t *testing.T) {
	if _, err := baseline.Start("random", []string{"http://127.0.0.1:1"}, 1); err == nil || !strings.Contains(err.Error(), "roundrobin, leastload") {
		t.Errorf("got %v, want an error that lists the available names", err)
	}
}
