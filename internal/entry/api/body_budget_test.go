package api

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// largeBodyBytes is the body size of the requests that fill the budget in these tests.
const largeBodyBytes = 256 << 10

// Guards against bodies in excess of the memory limits, and against bodies of non-urgent
// tiers and of unknown classes taking the memory reserved for urgent tiers.
func TestBodyMemoryIsBounded(t *testing.T) {
	f := newBlockingFixture(t, nil)
	f.reserveOtherBytes(maxBodyMemoryNonUrgent - largeBodyBytes)
	f.mustDispatch(chatCall("lower", "m", largeBodyBytes), "lower")
	f.mustRefuse(chatCall("lower", "m", 100), reasonBodiesFull)
	f.mustRefuse(chatCall("", "n", 100), reasonBodiesFull)
	f.mustRefuse(httptest.NewRequest(http.MethodPost, "/services/gate/x", strings.NewReader("x")), reasonBodiesFull)
	f.reserveOtherBytes(maxBodyMemoryUnknownClass - maxBodyMemoryNonUrgent - largeBodyBytes)
	f.mustDispatch(chatCall("", "u", largeBodyBytes), "only-urgent")
	f.mustRefuse(chatCall("", "u", 100), reasonBodiesFull)
	f.reserveOtherBytes(maxBodyMemory - maxBodyMemoryUnknownClass - largeBodyBytes)
	f.mustDispatch(chatCall("urgent", "m", largeBodyBytes), "urgent")
	f.mustRefuse(chatCall("urgent", "m", 100), reasonBodiesFull)
	f.releaseAll()
}

// Guards against other bodies taking the memory reserved for urgent tiers: a body of the
// maximum size must still fit.
func TestUrgentReserveFitsLargestBody(t *testing.T) {
	f := newBlockingFixture(t, nil)
	f.reserveOtherBytes(maxBodyMemoryUnknownClass)
	f.mustDispatch(chatCall("urgent", "m", maxBodyBytes), "urgent")
	f.releaseAll()
}

// Guards against a body without a Content-Length exceeding the size or memory limit.
func TestBodyOfUnknownLengthIsBounded(t *testing.T) {
	f := newBlockingFixture(t, nil)
	unknownLength := func(bytes int) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", io.NopCloser(strings.NewReader(chatBody("n", bytes))))
		r.ContentLength = -1
		return r
	}
	for _, bytes := range []int{100, bodyReadBytes, bodyReadBytes + 1} {
		f.mustDispatch(unknownLength(bytes), "only")
	}
	w := httptest.NewRecorder()
	f.router.ServeHTTP(w, unknownLength(maxBodyBytes+1))
	if w.Code != http.StatusRequestEntityTooLarge {
		t.Fatalf("body too large: got status %d", w.Code)
	}
	f.reserveOtherBytes(maxBodyMemoryUnknownClass - f.api.bodyBudget.reserved - bodyReadBytes)
	f.mustRefuse(unknownLength(bodyReadBytes+1), reasonBodiesFull)
	f.releaseAll()
}

func TestTooLargeBodyIsRefused(t *testing.T) {
	f := newBlockingFixture(t, nil)
	w := httptest.NewRecorder()
	f.router.ServeHTTP(w, chatCall("lower", "m", maxBodyBytes+1))
	if w.Code != http.StatusRequestEntityTooLarge || f.api.bodyBudget.reserved != 0 {
		t.Fatalf("got status %d, %d bytes reserved", w.Code, f.api.bodyBudget.reserved)
	}
}
