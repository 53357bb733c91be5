package metrics

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestDocsListEveryFamily checks that the tables in OPERATING.md list exactly the
// exposed metric families.
func TestDocsListEveryFamily(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATING.md")
	if err != nil {
		t.Fatal(err)
	}
	current, renamed, _ := strings.Cut(string(page), "\n## Renamed\n")
	// Each row of the table of renamed families holds the old name, which must no
	// longer be exposed, and the new one, which must be.
	for _, names := range regexp.MustCompile("`(applepier_[a-z_]+)` \\| `(applepier_[a-z_]+)`").FindAllStringSubmatch(renamed, -1) {
		if _, ok := helpTexts[family(names[1])]; ok {
			t.Errorf("the page lists %s as renamed, but it is still exposed", names[1])
		}
		if _, ok := helpTexts[family(names[2])]; !ok {
			t.Errorf("the page lists %s as renamed to %s, which isn't exposed", names[1], names[2])
		}
	}
	listed := map[family]bool{}
	for _, name := range regexp.MustCompile("applepier_[a-z_]+").FindAllString(current, -1) {
		listed[family(name)] = true
		if _, ok := helpTexts[family(name)]; !ok {
			t.Errorf("the page lists %s, which isn't exposed", name)
		}
	}
	for name := range helpTexts {
		if !listed[name] {
			t.Errorf("the page doesn't list %s", name)
		}
	}
}
