package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/fleet"
)

// serviceResponse is a response of the plain service to a caller.
type serviceResponse struct {
	status   int
	body     string
	replayed bool
	outcome  string
}

func postDocket(t *testing.T, entry *fleet.Entry, key, body string) serviceResponse {
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
	return serviceResponse{
		status:   response.StatusCode,
		body:     string(data),
		replayed: response.Header.Get("Idempotency-Replayed") == "true",
		outcome:  response.Header.Get("X-Applepier-Outcome"),
	}
}

func TestRetryThroughAnotherEntryReplaysResponse(t *testing.T) {
	const key, body = "docket-1", `{"weight":7}`
	first := postDocket(t, shared.fleet.Entries[0], key, body)
	if first.status != http.StatusOK || first.replayed {
		t.Fatalf("first call: %+v", first)
	}
	// The claim is completed just after the response is sent, so an immediate
	// retry may still get status 409, call in progress.
	second := postDocket(t, shared.fleet.Entries[1], key, body)
	for second.status == http.StatusConflict {
		second = postDocket(t, shared.fleet.Entries[1], key, body)
	}
	if !second.replayed || second.body != first.body || second.status != first.status {
		t.Fatalf("retry: got %+v, want the response %+v", second, first)
	}
}

func TestIdempotencyKeyOfAnotherRequestIsRejected(t *testing.T) {
	const key = "docket-2"
	postDocket(t, shared.fleet.Entries[0], key, `{"weight":7}`)
	other := postDocket(t, shared.fleet.Entries[2], key, `{"weight":8}`)
	if other.status != http.StatusUnprocessableEntity || other.outcome != "not_run" {
		t.Fatalf("got %+v, want 422 as not run", other)
	}
}
