package entry

import (
	"slices"
	"testing"
)

func TestUnknownModelsAreFilteredOut(t *testing.T) {
	var models knownModels
	if got := models.filter([]string{"typo"}); len(got) != 0 {
		t.Fatalf("nothing is known, got %v", got)
	}
	models.add("a", "b")
	models.add("c")
	if got := models.filter([]string{"a", "c", "typo"}); !slices.Equal(got, []string{"a", "c"}) {
		t.Fatalf("got %v", got)
	}
}
