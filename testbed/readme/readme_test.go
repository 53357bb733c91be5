// Package readme_test runs the commands in the README.
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

// readmeCommands returns the commands in the README's code block under a heading.
func readmeCommands(t *testing.T, heading string) []string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	pattern := regexp.MustCompile("(?s)\n## " + heading + "\n\n```\n(.*?)\n```")
	match := pattern.FindStringSubmatch(string(page))
	if match == nil {
		t.Fatalf("the README has no code block under %q", heading)
	}
	return strings.Split(match[1], "\n")
}

// command returns a command that runs in the repository's root, with the keys that the
// example settings refer to.
func command(line string) *exec.Cmd {
	words := strings.Fields(line)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "APPLEPIER_OPERATOR_KEY=operators-test-key", "APPLEPIER_SYSTEM_KEY=systems-test-key")
	return cmd
}

// TestTryItFilesExist guards against commands that name a missing file. It
// doesn't run them: they run the complete demo and all checks, including this test.
func TestTryItFilesExist(t *testing.T) {
	for _, line := range readmeCommands(t, "Try it") {
		words := strings.Fields(line)
		if _, err := os.Stat(filepath.Join(root, words[len(words)-1])); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
}

// TestRunItCommandsSucceed guards against commands that fail, and runs them in order.
// Those that start servers use the example settings with free ports and are stopped by
// SIGTERM, as by an operator.
func TestRunItCommandsSucceed(t *testing.T) {
	for _, line := range readmeCommands(t, "Run it") {
		program, settings, serves := strings.Cut(line, " serve --settings ")
		if serves {
			startAndStop(t, program+" serve --settings "+withFreePorts(t, settings))
			continue
		}
		if out, err := command(line).CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", line, err, out)
		}
	}
}

// startAndStop starts a command, waits until it logs that it has started, stops it by
// SIGTERM and checks that it exits without an error.
func startAndStop(t *testing.T, line string) {
	t.Helper()
	cmd := command(line)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var logged []string
	for lines := bufio.NewScanner(stderr); lines.Scan(); {
		logged = append(logged, lines.Text())
		if strings.Contains(lines.Text(), "event=started") {
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("%s: %v\n%s", line, err, strings.Join(logged, "\n"))
	}
}

var portPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// withFreePorts copies an example settings file, with each loopback address replaced
// by a free one, and returns the path of the copy.
func withFreePorts(t *testing.T, example string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, example))
	if err != nil {
		t.Fatal(err)
	}
	replaced := portPattern.ReplaceAllStringFunc(string(content), func(string) string { return ports.ReserveForTest(t) })
	path := filepath.Join(t.TempDir(), filepath.Base(example))
	if err := os.WriteFile(path, []byte(replaced), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
