package logging

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestDocsListEveryEvent checks that the tables in OPERATING.md list exactly the
// event names of this package.
func TestDocsListEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATING.md")
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile("event.go")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "## Log events")
	if !found {
		t.Fatal("the page has no table of log events")
	}
	table, renamed, _ := strings.Cut(table, "\n## Renamed\n")
	inCode := map[string]bool{}
	for _, match := range regexp.MustCompile(`Event\w+ += "(\w+)"`).FindAllStringSubmatch(string(source), -1) {
		inCode[match[1]] = true
		if !strings.Contains(table, "`"+match[1]+"`") {
			t.Errorf("the page doesn't list %s", match[1])
		}
	}
	for _, match := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(table, -1) {
		if !inCode[match[1]] {
			t.Errorf("the page lists %s, which isn't logged", match[1])
		}
	}
	// Each row of the table of renamed events holds the old name, which must no
	// longer be logged, and the new one, which must be.
	for _, names := range regexp.MustCompile("`([a-z]+_[a-z_]+)` \\| `([a-z]+_[a-z_]+)`").FindAllStringSubmatch(renamed, -1) {
		if strings.HasPrefix(names[1], "applepier_") {
			continue
		}
		if inCode[names[1]] || !inCode[names[2]] {
			t.Errorf("the page lists %s as renamed to %s: old name logged: %v, new name logged: %v", names[1], names[2], inCode[names[1]], inCode[names[2]])
		}
	}
}
