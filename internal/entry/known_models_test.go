package entry

import (
	"slices"
	"testing"
)

// Guards against ordering a backend server to load a model that exists only as a typing
// error in a class.
func TestUnknownModelsAreFilteredOut(t *testing.T) {
	var models knownModels
	if got := models.filter([]string{"typo"}); len(got) != 0 {
		t.Fatalf("no models are known: got %v, want none", got)
	}
	models.add("a", "b")
	models.add("c")
	if got := models.filter([]string{"a", "c", "typo"}); !slices.Equal(got, []string{"a", "c"}) {
		t.Fatalf("got %v, want the known models", got)
	}
}
