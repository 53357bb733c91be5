package cloud

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"
)

// post sends a call as a process and returns the status, or 0 if there is no response.
func post(c *Cloud, process, path string, token uint64, body string) (status int) {
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("X-Owner", "any")
	req.Header.Set("X-Fence-Token", strconv.FormatUint(token, 10))
	recorder := httptest.NewRecorder()
	c.HandlerFor(process).ServeHTTP(recorder, req)
	return recorder.Code
}

const (
	reportOf4    = `{"window-id":7,"counts":{"a":4}}`
	reportOf5    = `{"window-id":7,"counts":{"a":5}}`
	scaleRequest = `{"service":"s","zone":"z","desired":3}`
)

func TestViolations(t *testing.T) {
	cases := map[string]struct {
		do         func(c *Cloud)
		violations int
	}{
		"identical report repeated":             {func(c *Cloud) { post(c, "m", "/usage", 1, reportOf4); post(c, "m", "/usage", 1, reportOf4) }, 0},
		"different counts":                      {func(c *Cloud) { post(c, "m", "/usage", 1, reportOf4); post(c, "m", "/usage", 1, reportOf5) }, 1},
		"token used by two processes":           {func(c *Cloud) { post(c, "m", "/usage", 1, reportOf4); post(c, "n", "/usage", 1, reportOf4) }, 1},
		"report repeated by the next holder":    {func(c *Cloud) { post(c, "m", "/usage", 1, reportOf4); post(c, "n", "/usage", 2, reportOf4) }, 0},
		"different counts from a former holder": {func(c *Cloud) { post(c, "n", "/usage", 2, reportOf4); post(c, "m", "/usage", 1, reportOf5) }, 0},
		"alternating holders": {func(c *Cloud) {
			post(c, "m", "/usage", 1, reportOf4)
			post(c, "n", "/usage", 2, reportOf4)
			post(c, "m", "/usage", 3, reportOf4)
		}, 1},
		"token of another task": {func(c *Cloud) { post(c, "m", "/usage", 1, reportOf4); post(c, "n", "/scale", 1, scaleRequest) }, 0},
		"delayed call of a former holder": {func(c *Cloud) {
			c.SetFault(Delayed)
			post(c, "m", "/usage", 1, reportOf5)
			c.SetFault(NoFault)
			post(c, "n", "/usage", 2, reportOf4)
			c.RunDelayed()
		}, 0},
		"delayed call executed first": {func(c *Cloud) {
			c.SetFault(Delayed)
			post(c, "m", "/usage", 1, reportOf5)
			c.SetFault(NoFault)
			c.RunDelayed()
			post(c, "n", "/usage", 2, reportOf4)
		}, 1},
		"lost response": {func(c *Cloud) {
			c.SetFault(ResponseLost)
			post(c, "m", "/usage", 1, reportOf5)
			c.SetFault(NoFault)
			post(c, "m", "/usage", 1, reportOf4)
		}, 1},
	}
	for name, tc := range cases {
		c := New(time.Minute)
		tc.do(c)
		if got := c.Violations(); len(got) != tc.violations {
			t.Errorf("%s: %q", name, got)
		}
	}
}

func TestStatusCodes(t *testing.T) {
	c := New(0)
	if got := post(c, "m", "/usage", 3, reportOf4); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	if got := post(c, "n", "/usage", 2, reportOf4); got != http.StatusConflict {
		t.Errorf("status %d for a lower fencing token", got)
	}
	if got := post(c, "n", "/usage", 4, `{"window-id":8}`); got != http.StatusBadRequest {
		t.Errorf("status %d without counts", got)
	}
	for fault, want := range map[Fault]int{Throttled: http.StatusTooManyRequests, RequestLost: 0, ResponseLost: 0, Delayed: 0} {
		c.SetFault(fault)
		if got := post(c, "m", "/scale", 1, scaleRequest); got != want {
			t.Errorf("fault %d: status %d, want %d", fault, got, want)
		}
	}
}
