package metrics

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestDocsListEveryFamily compares the table in OPERATING.md with the code.
func TestDocsListEveryFamily(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATING.md")
	if err != nil {
		t.Fatal(err)
	}
	served, renamed, _ := strings.Cut(string(page), "\n## Renamed\n")
	// Of each renamed family the name of before isn't served, and the later one is.
	for _, names := range regexp.MustCompile("`(applepier_[a-z_]+)` \\| `(applepier_[a-z_]+)`").FindAllStringSubmatch(renamed, -1) {
		if _, ok := help[family(names[1])]; ok {
			t.Errorf("%s is said to be renamed, and is served", names[1])
		}
		if _, ok := help[family(names[2])]; !ok {
			t.Errorf("%s is said to be %s, which isn't served", names[1], names[2])
		}
	}
	listed := map[family]bool{}
	for _, name := range regexp.MustCompile("applepier_[a-z_]+").FindAllString(served, -1) {
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
