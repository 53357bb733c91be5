package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/internal/gateway/routes"
)

// The whole table proves the moment of its call, an answer of the feed only what
// was a second before its own: the later answer may prove the earlier moment.
func TestProofOfTheStoreNeverGoesBack(t *testing.T) {
	d := &desired{holder: &routes.Holder{}, registry: backend.NewRegistry(), log: zap.NewNop()}
	const read = 10 * time.Second
	d.Reset(read, follow.Batch[*routes.Set]{Items: []*routes.Set{routes.NewSet(1, routes.Limits{}, nil, nil, nil)}})
	d.Change(read+feedSilence/2, follow.Batch[*routes.Set]{})
	if got := time.Duration(d.provenAt.Load()); got != read {
		t.Errorf("proved at %v, after %v", got, read)
	}
	d.Change(read+2*feedSilence, follow.Batch[*routes.Set]{})
	if got := time.Duration(d.provenAt.Load()); got != read+feedSilence {
		t.Errorf("proved at %v, want %v", got, read+feedSilence)
	}
}
