package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/gateway"
)

// For an HTTP/1.0 caller the end of the connection ends a response of unknown length. If such
// a response is interrupted, the connection must be reset, or the response looks complete.
func TestInterruptedResponseToHTTP10CallerIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		script gateway.Script
	}{
		"a stream":        {"/stream/x", gateway.Events(6, 4, 0)},
		"a long response": {"/unsafe/x", rawResponse(false, []string{"Transfer-Encoding: chunked"}, 200, fmt.Sprintf("%x\r\n%s\r\n", len(longBody), longBody))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, server := newServingFixture(t, gateway.Options{})
			server.SetScript(c.script)
			caller := dialRaw(t, f)
			caller.send(strings.Replace(requestHead("POST", c.path, "old"), "HTTP/1.1", "HTTP/1.0", 1))
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				return
			}
			body, err := io.ReadAll(resp.Body)
			if err == nil {
				t.Errorf("a response with status %d and %d bytes looks complete, but the server closed the connection early", resp.StatusCode, len(body))
			}
		})
	}
}
