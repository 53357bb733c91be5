package cli

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/program"
	"github.com/applepier/applepier/internal/settings"
)

// docFiles returns the paths of the documentation pages whose links are checked.
func docFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../../docs/*.md")
	if err != nil || len(files) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	return append(files, "../../README.md", "../../CONTRIBUTING.md")
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

var (
	blockPattern   = regexp.MustCompile("(?ms)^```[a-z]*\n(.*?)^```$")
	commandPattern = regexp.MustCompile(`(?m)^(?:bin/)?applepier (.*)$`)
	linkPattern    = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
)

// commands returns the applepier command lines in the code blocks of a page,
// without the program name.
func commands(page string) []string {
	var lines []string
	for _, block := range blockPattern.FindAllStringSubmatch(page, -1) {
		for _, command := range commandPattern.FindAllStringSubmatch(block[1], -1) {
			lines = append(lines, command[1])
		}
	}
	return lines
}

// TestDocumentedCommands runs each documented command against an address where
// nothing listens. The commands fail, but not with a usage error.
func TestDocumentedCommands(t *testing.T) {
	t.Setenv(envKey, testKey)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(envAdmin, "http://"+listener.Addr().String())
	_ = listener.Close()
	t.Chdir("../..")
	gateway := GatewayCommand(func(context.Context, settings.Gateway, func() (settings.Gateway, error), *zap.Logger) error {
		return nil
	}, "")
	found := 0
	for _, file := range []string{"README.md", "docs/OPERATING.md", "docs/API.md", "docs/SETTINGS.md"} {
		for _, line := range commands(readFile(t, file)) {
			if strings.HasPrefix(line, "serve") {
				continue
			}
			found++
			var out, errOut bytes.Buffer
			code := Run(t.Context(), append([]string{"applepier"}, strings.Fields(line)...), &out, &errOut, nil, gateway)
			if code == program.ExitUsage {
				t.Errorf("%s: applepier %s: %s", file, line, errOut.String())
			}
		}
	}
	if found == 0 {
		t.Error("the pages show no commands")
	}
}

func TestDocumentationLinks(t *testing.T) {
	for _, file := range docFiles(t) {
		for _, match := range linkPattern.FindAllStringSubmatch(readFile(t, file), -1) {
			target := filepath.Join(filepath.Dir(file), match[1])
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s: link to %s: %v", file, match[1], err)
			}
		}
	}
}
