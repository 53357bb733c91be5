// Package readme_test follows the README word for word.
package readme_test

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/applepier/applepier/testbed/ports"
)

const root = "../.."

// block returns the commands of the README's block under a heading.
func block(t *testing.T, heading string) []string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	pattern := regexp.MustCompile("(?s)\n## " + heading + "\n\n```\n(.*?)\n```")
	match := pattern.FindStringSubmatch(string(page))
	if match == nil {
		t.Fatalf("the README has no block under %q", heading)
	}
	return strings.Split(match[1], "\n")
}

func command(line string) *exec.Cmd {
	words := strings.Fields(line)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "APPLEPIER_OPERATOR_KEY=operators-test-key", "APPLEPIER_SYSTEM_KEY=systems-test-key")
	return cmd
}

// TestTryItNamesWhatIsThere: the commands run the whole demo and all checks, so
// that this test, which is one of them, sees to it only that they are there.
func TestTryItNamesWhatIsThere(t *testing.T) {
	for _, line := range block(t, "Try it") {
		words := strings.Fields(line)
		if _, err := os.Stat(filepath.Join(root, words[len(words)-1])); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
}

// TestRunIt runs the commands in order. The last two serve; they get the
// example settings with free ports, and are stopped as an operator would.
func TestRunIt(t *testing.T) {
	for _, line := range block(t, "Run it") {
		before, settings, serves := strings.Cut(line, " serve --settings ")
		if serves {
			startAndStop(t, before+" serve --settings "+withFreePorts(t, settings))
			continue
		}
		if out, err := command(line).CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", line, err, out)
		}
	}
}

// startAndStop waits until the process says that it serves and then stops it.
func startAndStop(t *testing.T, line string) {
	t.Helper()
	cmd := command(line)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var seen []string
	for lines := bufio.NewScanner(log); lines.Scan(); {
		seen = append(seen, lines.Text())
		if strings.Contains(lines.Text(), "event=started") {
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("%s: %v\n%s", line, err, strings.Join(seen, "\n"))
	}
}

var portPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// withFreePorts copies an example with each address replaced by a free one.
func withFreePorts(t *testing.T, example string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, example))
	if err != nil {
		t.Fatal(err)
	}
	replaced := portPattern.ReplaceAllStringFunc(string(content), func(string) string { return ports.For(t) })
	path := filepath.Join(t.TempDir(), filepath.Base(example))
	if err := os.WriteFile(path, []byte(replaced), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
