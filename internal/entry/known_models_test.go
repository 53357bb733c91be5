package entry

import (
	"slices"
	"testing"
)

func TestKnownModels(t *testing.T) {
	var known knownModels
	if got := known.only([]string{"typo"}); len(got) != 0 {
		t.Fatalf("nothing is known, got %v", got)
	}
	known.note("a", "b")
	known.note("c")
	if got := known.only([]string{"a", "c", "typo"}); !slices.Equal(got, []string{"a", "c"}) {
		t.Fatalf("got %v", got)
	}
}
