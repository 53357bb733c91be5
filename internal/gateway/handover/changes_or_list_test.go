package handover

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
)

// Guards against a gateway whose requests for changes fail as long as no history reaches back to its
// position: it gets the complete list instead.
func TestCompleteListWhereChangesAreUnknown(t *testing.T) {
	list := []follow.Delta[backend.Info]{{From: 40, To: 40, Items: []backend.Info{{ID: "i-1"}}, Snapshot: true}}
	changes := []follow.Delta[backend.Info]{{From: 39, To: 40, Removed: []string{"i-2"}}}
	server := httptest.NewServer(NewHandler(func() State { return State{} }, func(after follow.Position) ([]follow.Delta[backend.Info], bool) {
		switch after {
		case 0:
			return list, true
		case 39:
			return changes, true
		}
		return nil, false
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	client := NewClient()
	for after, snapshot := range map[follow.Position]bool{32: true, 39: false, 0: true} {
		deltas, err := client.ChangesOrList(t.Context(), addr, after)
		if err != nil || len(deltas) != 1 || deltas[0].Snapshot != snapshot || deltas[0].To != 40 {
			t.Errorf("after position %d: %+v, %v; complete list wanted: %v", after, deltas, err, snapshot)
		}
	}
	if _, err := client.Changes(t.Context(), addr, 32); !errors.Is(err, ErrHistoryGap) {
		t.Errorf("changes after position 32: %v, want ErrHistoryGap", err)
	}
}
