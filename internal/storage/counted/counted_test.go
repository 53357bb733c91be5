package counted

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/storage/storagetest"
)

// fakeServices combines the in-memory fakes of the platform's services.
type fakeServices struct {
	*storagetest.Table
	*storagetest.ObjectStore
	*storagetest.VMList
}

// Every call must be counted, but a missing row and a conflict are not failures of
// the platform.
func TestCallsAndFailuresAreCounted(t *testing.T) {
	table := storagetest.NewTable()
	registry := metrics.New()
	platform := New(fakeServices{Table: table}, registry.Platform)

	_, _ = platform.Get(t.Context(), "none")
	_ = platform.Commit(t.Context(), []storage.Write{{Key: "a", Expect: 0}})
	_ = platform.Commit(t.Context(), []storage.Write{{Key: "a", Expect: 0}})
	table.SetUnavailable(true)
	_, _ = platform.List(t.Context(), "a")

	recorder := httptest.NewRecorder()
	registry.Serve(recorder, httptest.NewRequest(http.MethodGet, metrics.PathMetrics, nil))
	for _, want := range []string{
		`applepier_platform_calls_total{operation="read"} 2`,
		`applepier_platform_calls_total{operation="write"} 2`,
		`applepier_platform_failures_total{operation="read"} 1`,
		`applepier_platform_failures_total{operation="write"} 0`,
	} {
		if !strings.Contains(recorder.Body.String(), want+"\n") {
			t.Errorf("no %q in\n%s", want, recorder.Body)
		}
	}
}
