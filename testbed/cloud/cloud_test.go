package cloud

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"
)

// post makes a call as a machine; 0 for no answer.
func post(c *Cloud, machine, path string, fence uint64, body string) (status int) {
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("X-Owner", "any")
	req.Header.Set("X-Fence-Token", strconv.FormatUint(fence, 10))
	answer := httptest.NewRecorder()
	c.Machine(machine).ServeHTTP(answer, req)
	return answer.Code
}

const (
	four  = `{"window-id":7,"counts":{"a":4}}`
	five  = `{"window-id":7,"counts":{"a":5}}`
	order = `{"service":"s","zone":"z","desired":3}`
)

func TestWhatBreaks(t *testing.T) {
	cases := map[string]struct {
		do     func(c *Cloud)
		breaks int
	}{
		"an exact repeat":          {func(c *Cloud) { post(c, "m", "/usage", 1, four); post(c, "m", "/usage", 1, four) }, 0},
		"another count":            {func(c *Cloud) { post(c, "m", "/usage", 1, four); post(c, "m", "/usage", 1, five) }, 1},
		"another machine":          {func(c *Cloud) { post(c, "m", "/usage", 1, four); post(c, "n", "/usage", 1, four) }, 1},
		"a later holder's repeat":  {func(c *Cloud) { post(c, "m", "/usage", 1, four); post(c, "n", "/usage", 2, four) }, 0},
		"a deposed holder's count": {func(c *Cloud) { post(c, "n", "/usage", 2, four); post(c, "m", "/usage", 1, five) }, 0},
		"holders by turns": {func(c *Cloud) {
			post(c, "m", "/usage", 1, four)
			post(c, "n", "/usage", 2, four)
			post(c, "m", "/usage", 3, four)
		}, 1},
		"another subject's fence": {func(c *Cloud) { post(c, "m", "/usage", 1, four); post(c, "n", "/scale", 1, order) }, 0},
		"a late call that is deposed": {func(c *Cloud) {
			c.SetFault(Late)
			post(c, "m", "/usage", 1, five)
			c.SetFault(Well)
			post(c, "n", "/usage", 2, four)
			c.Land()
		}, 0},
		"a late call that is first": {func(c *Cloud) {
			c.SetFault(Late)
			post(c, "m", "/usage", 1, five)
			c.SetFault(Well)
			c.Land()
			post(c, "n", "/usage", 2, four)
		}, 1},
		"a lost answer": {func(c *Cloud) {
			c.SetFault(Lost)
			post(c, "m", "/usage", 1, five)
			c.SetFault(Well)
			post(c, "m", "/usage", 1, four)
		}, 1},
	}
	for name, tc := range cases {
		c := New(time.Minute)
		tc.do(c)
		if got := c.Broken(); len(got) != tc.breaks {
			t.Errorf("%s: %q", name, got)
		}
	}
}

func TestAnswers(t *testing.T) {
	c := New(0)
	if got := post(c, "m", "/usage", 3, four); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	if got := post(c, "n", "/usage", 2, four); got != http.StatusConflict {
		t.Errorf("status %d for a lower generation", got)
	}
	if got := post(c, "n", "/usage", 4, `{"window-id":8}`); got != http.StatusBadRequest {
		t.Errorf("status %d without counts", got)
	}
	for fault, want := range map[Fault]int{Busy: http.StatusTooManyRequests, Silent: 0, Lost: 0, Late: 0} {
		c.SetFault(fault)
		if got := post(c, "m", "/scale", 1, order); got != want {
			t.Errorf("fault %d: status %d, want %d", fault, got, want)
		}
	}
}
