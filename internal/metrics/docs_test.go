package metrics

import (
	"os"
	"regexp"
	"testing"
)

// TestDocsListEveryFamily compares the table in OPERATING.md with the code.
func TestDocsListEveryFamily(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATING.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[family]bool{}
	for _, name := range regexp.MustCompile("applepier_[a-z_]+").FindAllString(string(page), -1) {
		listed[family(name)] = true
		if _, ok := help[family(name)]; !ok {
			t.Errorf("the page lists %s, which isn't served", name)
		}
	}
	for name := range help {
		if !listed[name] {
			t.Errorf("the page doesn't list %s", name)
		}
	}
}
