package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/routes"
)

// fixedDialect is a Dialect that parses each request to the same RequestInfo.
type fixedDialect struct{ protocol.Dialect }

func (fixedDialect) ParseRequest(*http.Request) protocol.RequestInfo {
	return protocol.RequestInfo{ID: "1"}
}

// Guards against bodies of unknown length that exceed the bound on memory, and against memory that stays
// reserved.
func TestBodyOfUnknownLengthIsBounded(t *testing.T) {
	const limit = 1 << 20
	r := newTestRouter()
	r.Observer, r.Dialect = discardObserver{}, fixedDialect{}
	r.SetBounds(Bounds{MaxRequestMemory: limit, RetryWindow: time.Second})
	r.Holder.Update(routes.NewSnapshot(1, routes.Limits{}, []*routes.Route{{Name: "r", Host: "h.example", Prefix: "/x/", Public: true}}, nil, routes.Access{WithoutKeys: true}), boottime.Now())
	for size, want := range map[int]string{limit / 2: "", 4 * limit: string(ReasonMemoryLimit)} {
		// Without a known type of reader the request has no length.
		body := struct{ io.Reader }{strings.NewReader(strings.Repeat("x", size))}
		c := &call{router: r, req: httptest.NewRequest(http.MethodPost, "http://h.example/x/", body), arrivedAt: time.Now(), deadline: time.Now().Add(time.Minute)}
		response := httptest.NewRecorder()
		c.w = response
		if !c.reserveMemory() {
			t.Fatal("no memory for the request itself")
		}
		read := c.readBody()
		if got := strings.TrimSpace(response.Body.String()); read != (want == "") || got != want {
			t.Errorf("body of %d bytes: read %v, response %q, want %q", size, read, got, want)
		}
		if reserved := r.memory.bytes.Load(); read && reserved < int64(size) || reserved > limit {
			t.Errorf("body of %d bytes: %d bytes reserved", size, reserved)
		}
		c.releaseMemory()
		if left := r.memory.bytes.Load(); left != 0 {
			t.Errorf("body of %d bytes: %d bytes stay reserved", size, left)
		}
	}
}
