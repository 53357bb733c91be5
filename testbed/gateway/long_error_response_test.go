package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// A status that implies that a request wasn't executed is forwarded only if the server marks the
// response as not executed, even if the body exceeds the gateway's buffer.
func TestLongErrorResponseDoesNotImplyNotExecuted(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			f, server := newServingFixture(t, gateway.Options{})
			errorResponse := rawResponse(true, []string{fmt.Sprintf("Content-Length: %d", len(longBody))}, status, longBody)
			server.SetScript(errorResponse)
			got := f.Post("/unsafe/x", "1")
			if got.Status == status && status != http.StatusMisdirectedRequest {
				t.Errorf("status %d implies that the request wasn't executed; it may have been", got.Status)
			}
		})
	}
}
