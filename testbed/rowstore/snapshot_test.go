package rowstore

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// feedStatus requests the changes after a version and returns the status and era.
func feedStatus(s *Store, after uint64) (status int, era string) {
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, fmt.Sprintf("/v1/rows-feed?table=t&since-rev=%d&wait-ms=0", after), nil))
	return recorder.Code, recorder.Header().Get(eraHeader)
}

// A restore discards the writes after the snapshot and assigns their versions again. A feed
// from a version that no longer exists gets 410, and every response carries the era.
func TestRestoreFromSnapshot(t *testing.T) {
	s := New()
	s.Put("t", "kept", nil)
	snapshot := s.Snapshot()
	s.Put("t", "kept", []byte("later"))
	lost := s.Put("t", "lost", nil)
	if status, era := feedStatus(s, lost); status != http.StatusOK || era != "0" {
		t.Errorf("status %d in era %q before the restore", status, era)
	}
	s.Restore(snapshot)
	if keys := s.Keys("t"); len(keys) != 1 || keys[0] != "kept" {
		t.Errorf("rows %v after the restore", keys)
	}
	if status, era := feedStatus(s, lost); status != http.StatusGone || era != "1" {
		t.Errorf("status %d in era %q for a version that doesn't exist", status, era)
	}
	if again := s.Put("t", "new", nil); again != lost-1 {
		t.Errorf("assigned version %d, want %d again", again, lost-1)
	}
	s.Put("t", "newer", nil)
	if status, _ := feedStatus(s, lost); status != http.StatusOK {
		t.Errorf("status %d for a version that was assigned again", status)
	}
	s.RewriteLost("t")
	if keys := s.Keys("t"); len(keys) != 4 {
		t.Errorf("rows %v after the lost rows were written again", keys)
	}
	s.SetFault(Unavailable)
	if status, era := feedStatus(s, 0); status != http.StatusServiceUnavailable || era != "1" {
		t.Errorf("status %d, era %q while the store is unavailable", status, era)
	}
}
