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

func TestOnlyExecutedCallsAreRecorded(t *testing.T) {
	server := httptest.NewServer(plain.New())
	defer server.Close()
	service := engine.NewServiceClient(server.URL)
	do := func(id, method, path, body string) (int, string, error) {
		response, err := service.Do(context.Background(),
			engine.ServiceRequest{ID: id, Method: method, Path: path, Body: []byte(body)})
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return response.Status, string(text), err
	}
	status, text, err := do("a#1", http.MethodPost, "/docket?x=1", "9 t")
	if err != nil || status != http.StatusOK || text != plain.Response(http.MethodPost, "/docket?x=1", []byte("9 t")) {
		t.Fatalf("response: %d %q %v", status, text, err)
	}
	setKnobs(t, do, `{"cut_answers":1}`)
	if _, _, err := do("b#1", http.MethodPost, "/docket", ""); err == nil {
		t.Fatal("no error for a dropped response")
	}
	setKnobs(t, do, `{"fail_status":503}`)
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

func setKnobs(t *testing.T, do func(id, method, path, body string) (int, string, error), body string) {
	t.Helper()
	if status, text, err := do("", http.MethodPut, "/knobs", body); err != nil || status != http.StatusOK {
		t.Fatalf("knobs: %d %q %v", status, text, err)
	}
}
