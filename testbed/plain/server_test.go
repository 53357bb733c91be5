package plain_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/applepier/applepier/internal/engine"
	"github.com/applepier/applepier/testbed/plain"
)

func TestCallsAreAnsweredAndRecorded(t *testing.T) {
	web := httptest.NewServer(plain.New())
	defer web.Close()
	service := engine.NewService(web.URL)
	do := func(id, method, path, body string) (int, string, error) {
		answer, err := service.Do(context.Background(),
			engine.ServiceCall{ID: id, Method: method, Path: path, Body: []byte(body)})
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = answer.Body.Close() }()
		text, err := io.ReadAll(answer.Body)
		return answer.Status, string(text), err
	}
	status, text, err := do("a#1", http.MethodPost, "/docket?x=1", "9 t")
	if err != nil || status != http.StatusOK || text != plain.Answer(http.MethodPost, "/docket?x=1", []byte("9 t")) {
		t.Fatalf("answer: %d %q %v", status, text, err)
	}
	mustKnobs(t, do, `{"cut_answers":1}`)
	if _, _, err := do("b#1", http.MethodPost, "/docket", ""); err == nil {
		t.Fatal("a cut answer gave no error")
	}
	mustKnobs(t, do, `{"fail_status":503}`)
	if status, _, err := do("c#1", http.MethodPost, "/docket", ""); err != nil || status != 503 {
		t.Fatalf("failing service: %d, %v", status, err)
	}
	_, record, err := do("", http.MethodGet, "/record", "")
	if err != nil {
		t.Fatal(err)
	}
	var calls []plain.Call
	if err := json.NewDecoder(strings.NewReader(record)).Decode(&calls); err != nil {
		t.Fatal(err)
	}
	if len(calls) != 2 || calls[0].Request != "a" || calls[1].Run != "b#1" {
		t.Errorf("record: %+v", calls)
	}
}

func mustKnobs(t *testing.T, do func(id, method, path, body string) (int, string, error), body string) {
	t.Helper()
	if status, text, err := do("", http.MethodPut, "/knobs", body); err != nil || status != http.StatusOK {
		t.Fatalf("knobs: %d %q %v", status, text, err)
	}
}
