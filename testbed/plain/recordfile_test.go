package plain_test

import (
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/plain"
)

func TestRecordFileSurvivesRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "calls")
	for _, run := range []string{"a#1", "b#1"} {
		service, err := plain.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		request := httptest.NewRequest(http.MethodPost, "/docket", strings.NewReader("9 t"))
		request.Header.Set("X-Request-Id", run)
		service.ServeHTTP(httptest.NewRecorder(), request)
		if err := service.Close(); err != nil {
			t.Fatal(err)
		}
	}
	calls, err := plain.ReadRecordFile(path)
	if err != nil || len(calls) != 2 || calls[0].Run != "a#1" || calls[1].Request != "b" {
		t.Fatalf("%+v, %v", calls, err)
	}
}
