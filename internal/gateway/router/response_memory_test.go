package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/gateway/exchange"
)

// Guards against responses that are buffered without regard to the memory that is left, and against memory that
// stays reserved for them.
func TestBufferedResponsesAreBounded(t *testing.T) {
	const limit, requests = 1 << 20, 12
	for _, size := range []int{0, 100, minResponseBuffer, smallResponse, 100 << 10, maxBufferedResponse, maxBufferedResponse + 1, 1 << 20} {
		for _, framing := range []string{"length", "chunks"} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, framing), func(t *testing.T) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if framing == "length" {
						w.Header().Set("Content-Length", strconv.Itoa(size))
					}
					w.WriteHeader(http.StatusOK)
					w.(http.Flusher).Flush()
					// The client may close the connection before the end.
					_, _ = w.Write([]byte(strings.Repeat("x", size)))
				}))
				defer server.Close()
				r := newTestRouter()
				r.SetBounds(Bounds{MaxRequestMemory: limit, RetryWindow: time.Second})
				var calls []*call
				buffered := 0
				for range requests {
					c := &call{router: r, req: httptest.NewRequest(http.MethodGet, "http://h.example/x/", nil)}
					if !c.reserveMemory() {
						t.Fatal("responses leave no memory to requests")
					}
					response, err := exchange.NewPool().Do(t.Context(), exchange.ServerInstance{Addr: server.Listener.Addr().String()}, &exchange.Request{
						Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Matches: func(http.Header) bool { return true },
					})
					if err != nil {
						t.Fatal(err)
					}
					body, complete, err := c.readBuffered(response)
					response.Abort()
					switch {
					case err != nil:
						t.Fatal(err)
					case complete && len(body) != size:
						t.Errorf("%d bytes of %d count as complete", len(body), size)
					case !complete && len(body) < min(size, minResponseBuffer):
						t.Errorf("%d bytes of %d were read", len(body), size)
					case complete:
						buffered++
					}
					calls = append(calls, c)
				}
				if reserved := r.memory.bytes.Load(); reserved > limit {
					t.Errorf("%d bytes reserved, the limit is %d", reserved, limit)
				}
				if least, most := bufferedResponses(size, requests); buffered < least || buffered > most {
					t.Errorf("%d of %d responses were buffered, want %d to %d", buffered, requests, least, most)
				}
				for _, c := range calls {
					c.releaseMemory()
				}
				if left := r.memory.bytes.Load(); left != 0 {
					t.Errorf("%d bytes stay reserved", left)
				}
			})
		}
	}
}

// bufferedResponses returns how many of several responses of a size may be buffered at once: all that are small,
// none that is larger than the largest buffer, and of those that are nearly as large the one for which half of
// the limit suffices.
func bufferedResponses(size, requests int) (least, most int) {
	switch {
	case size < smallResponse:
		return requests, requests
	case size > maxBufferedResponse+1:
		return 0, 0
	case size >= maxBufferedResponse:
		return 1, 1
	default:
		return 1, requests
	}
}
