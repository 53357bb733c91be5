package api

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// largeBody is what one call of these tests takes.
const largeBody = 256 << 10

func TestBodiesHeldAreBounded(t *testing.T) {
	f := newFixture(t, nil)
	f.holdOthers(heldLower - largeBody)
	f.hold(chatCall("lower", "m", largeBody), "lower")
	f.refuse(chatCall("lower", "m", 100), reasonBodiesFull)
	f.refuse(chatCall("", "n", 100), reasonBodiesFull)
	f.refuse(httptest.NewRequest(http.MethodPost, "/services/gate/x", strings.NewReader("x")), reasonBodiesFull)
	f.holdOthers(heldUnnamed - heldLower - largeBody)
	f.hold(chatCall("", "u", largeBody), "only-urgent")
	f.refuse(chatCall("", "u", 100), reasonBodiesFull)
	f.holdOthers(maxHeld - heldUnnamed - largeBody)
	f.hold(chatCall("urgent", "m", largeBody), "urgent")
	f.refuse(chatCall("urgent", "m", 100), reasonBodiesFull)
	f.letAllGo()
}

// An urgent tier has room for one body of the largest size whatever others do.
func TestReserveFitsTheLargestBody(t *testing.T) {
	f := newFixture(t, nil)
	f.holdOthers(heldUnnamed)
	f.hold(chatCall("urgent", "m", maxBody), "urgent")
	f.letAllGo()
}

func TestBodyOfUndeclaredLength(t *testing.T) {
	f := newFixture(t, nil)
	undeclared := func(bytes int) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", io.NopCloser(strings.NewReader(chatBody("n", bytes))))
		r.ContentLength = -1
		return r
	}
	for _, bytes := range []int{100, bodyStep, bodyStep + 1} {
		f.hold(undeclared(bytes), "only")
	}
	w := httptest.NewRecorder()
	f.router.ServeHTTP(w, undeclared(maxBody+1))
	if w.Code != http.StatusRequestEntityTooLarge {
		t.Fatalf("too large: %d", w.Code)
	}
	f.holdOthers(heldUnnamed - f.api.held.used - bodyStep)
	f.refuse(undeclared(bodyStep+1), reasonBodiesFull)
	f.letAllGo()
}

func TestBodyTooLarge(t *testing.T) {
	f := newFixture(t, nil)
	w := httptest.NewRecorder()
	f.router.ServeHTTP(w, chatCall("lower", "m", maxBody+1))
	if w.Code != http.StatusRequestEntityTooLarge || f.api.held.used != 0 {
		t.Fatalf("%d, %d bytes held", w.Code, f.api.held.used)
	}
}
