package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/metrics"
)

// Guards against refusals that don't report the prompt size: if long prompts were always refused,
// that would be indistinguishable from ordinary overload.
func TestRefusalsReportPromptSize(t *testing.T) {
	core, entries := observer.New(zap.InfoLevel)
	registry := metrics.New()
	observed := requestObserver{metrics: registry, log: zap.New(core)}
	observed.RequestEnded(router.RequestResult{
		Route: "summary", Status: http.StatusServiceUnavailable, Reason: router.ReasonNoCapacity,
		PromptTokens: 17_000, MeanTokens: 9000, PrefillTokens: 14_000, TokensAhead: 1800,
	})
	observed.RequestEnded(router.RequestResult{Route: "summary", Status: http.StatusOK, Reason: router.ReasonServed, PromptTokens: 8000})
	if entries.Len() != 1 {
		t.Fatalf("%d log entries, want 1 for the refusal", entries.Len())
	}
	fields := entries.All()[0].ContextMap()
	for name, want := range map[string]int64{"prompt_tokens": 17_000, "mean_tokens": 9000, "prefill_tokens": 14_000, "tokens_ahead": 1800} {
		if fields[name] != want {
			t.Errorf("%s=%v, want %d", name, fields[name], want)
		}
	}
	response := httptest.NewRecorder()
	registry.Serve(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`applepier_received_prompt_tokens_total{class="summary"} 25000`,
		`applepier_refused_prompt_tokens_total{class="summary",reason="no_room_in_time"} 17000`,
	} {
		if !strings.Contains(response.Body.String(), want) {
			t.Errorf("no %s in\n%s", want, response.Body)
		}
	}
}
