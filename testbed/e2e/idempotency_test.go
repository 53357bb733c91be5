package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/fleet"
)

// answerOf is what a caller of the plain service got.
type answerOf struct {
	status   int
	body     string
	replayed bool
	outcome  string
}

func postDocket(t *testing.T, entry *fleet.Entry, key, body string) answerOf {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.URL+"/services/weighbridge/dockets", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+fleet.CustomerKey(fleet.DefaultCustomer))
	req.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answerOf{
		status:   response.StatusCode,
		body:     string(data),
		replayed: response.Header.Get("Idempotency-Replayed") == "true",
		outcome:  response.Header.Get("X-Applepier-Outcome"),
	}
}

func TestRepeatThroughAnotherEntryGetsTheFirstAnswer(t *testing.T) {
	const key, body = "docket-1", `{"weight":7}`
	first := postDocket(t, shared.fleet.Entries[0], key, body)
	if first.status != http.StatusOK || first.replayed {
		t.Fatalf("first call: %+v", first)
	}
	// The claim is finished just after the answer is given, so that a repeat
	// at once may still be told that the call is in progress.
	second := postDocket(t, shared.fleet.Entries[1], key, body)
	for second.status == http.StatusConflict {
		second = postDocket(t, shared.fleet.Entries[1], key, body)
	}
	if !second.replayed || second.body != first.body || second.status != first.status {
		t.Fatalf("repeat: got %+v, want the answer of %+v", second, first)
	}
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	const key = "docket-2"
	postDocket(t, shared.fleet.Entries[0], key, `{"weight":7}`)
	other := postDocket(t, shared.fleet.Entries[2], key, `{"weight":8}`)
	if other.status != http.StatusUnprocessableEntity || other.outcome != "not_run" {
		t.Fatalf("got %+v, want 422 as not run", other)
	}
}
