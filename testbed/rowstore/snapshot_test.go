package rowstore

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// feedStatus asks for what changed after a version.
func feedStatus(s *Store, after uint64) (status int, era string) {
	answer := httptest.NewRecorder()
	s.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, fmt.Sprintf("/v1/rows-feed?table=t&since-rev=%d&wait-ms=0", after), nil))
	return answer.Code, answer.Header().Get(eraHeader)
}

// What was written after the copy is gone, its versions are given out again, a read from
// one that there isn't gets 410, and all answers tell the era.
func TestStoreReturnsFromACopy(t *testing.T) {
	s := New()
	s.Put("t", "kept", nil)
	older := s.Copy()
	s.Put("t", "kept", []byte("later"))
	lost := s.Put("t", "lost", nil)
	if status, era := feedStatus(s, lost); status != http.StatusOK || era != "0" {
		t.Errorf("status %d in era %q before", status, era)
	}
	s.Return(older)
	if keys := s.Keys("t"); len(keys) != 1 || keys[0] != "kept" {
		t.Errorf("rows %v after the return", keys)
	}
	if status, era := feedStatus(s, lost); status != http.StatusGone || era != "1" {
		t.Errorf("status %d in era %q for a version that there isn't", status, era)
	}
	if again := s.Put("t", "new", nil); again != lost-1 {
		t.Errorf("version %d is given out, want %d again", again, lost-1)
	}
	s.Put("t", "newer", nil)
	if status, _ := feedStatus(s, lost); status != http.StatusOK {
		t.Errorf("status %d for a version that was given out again", status)
	}
	s.WriteAgain("t")
	if keys := s.Keys("t"); len(keys) != 4 {
		t.Errorf("rows %v once those that were lost are written again", keys)
	}
	s.SetFault(Busy)
	if status, era := feedStatus(s, 0); status != http.StatusServiceUnavailable || era != "1" {
		t.Errorf("status %d, era %q while the store is busy", status, era)
	}
}
