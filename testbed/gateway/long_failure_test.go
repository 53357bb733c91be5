package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// A status that promises that a request didn't run is passed on only where the
// server says so, however long its body.
func TestLongFailureMakesNoFalsePromise(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			f, server := served(t, gateway.Options{})
			ran := bytesOf(true, []string{fmt.Sprintf("Content-Length: %d", len(longBody))}, status, longBody)
			server.Do(ran)
			got := f.Call("/unsafe/x", "1")
			if got.Status == status && status != http.StatusMisdirectedRequest {
				t.Errorf("status %d promises that the request didn't run; it may have", got.Status)
			}
		})
	}
}
