package router

import (
	"math"
	"reflect"
	"testing"

	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/policy"
)

// Guards against callers that send wrong segment lengths: a segment that ended beyond the prompt
// would make the number of remaining tokens negative.
func TestSharedSegmentsClampedToPrompt(t *testing.T) {
	segments := []protocol.PromptSegment{{ID: 1, Tokens: 500}, {ID: 2, Tokens: math.MaxInt - 600}, {ID: 3, Tokens: math.MaxInt}, {ID: 4, Tokens: 10}}
	want := []policy.PrefixSegment{{ID: 1, End: 500}, {ID: 2, End: 2000}, {ID: 3, End: 2000}}
	if got := clampSharedSegments(segments, 2000); !reflect.DeepEqual(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if got := clampSharedSegments(segments[:1], 2000); got != nil {
		t.Errorf("a prompt with one segment shares %v", got)
	}
}
