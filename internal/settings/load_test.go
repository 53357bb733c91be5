package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/sebdah/goldie/v2"
)

// The example files must be valid, and decoder must read from them the same values
// as the YAML library.
func TestExamplesAreValid(t *testing.T) {
	entry, err := LoadEntry("../../examples/entry.yaml")
	if err != nil {
		t.Fatal(err)
	}
	checkStrictDecoding(t, "../../examples/entry.yaml", entry)

	agent, err := LoadAgent("../../examples/agent.yaml")
	if err != nil {
		t.Fatal(err)
	}
	checkStrictDecoding(t, "../../examples/agent.yaml", agent)

	gateway, err := LoadGateway("../../examples/gateway.yaml")
	if err != nil {
		t.Fatal(err)
	}
	checkStrictDecoding(t, "../../examples/gateway.yaml", gateway)
}

func TestGatewayProblems(t *testing.T) {
	_, err := LoadGateway("testdata/bad-gateway.yaml")
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an InvalidError", err)
	}
	goldie.New(t).Assert(t, "bad-gateway", []byte(invalid.Error()))
}

// checkStrictDecoding checks that the YAML library's own strict decoding of the
// file gives the same settings.
func checkStrictDecoding[T any](t *testing.T, path string, got T) {
	t.Helper()
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var want T
	if err := yaml.UnmarshalWithOptions(source, &want, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	gotYAML, _ := yaml.Marshal(got)
	wantYAML, _ := yaml.Marshal(want)
	if string(gotYAML) != string(wantYAML) {
		t.Fatalf("%s: got\n%s\nwant\n%s", path, gotYAML, wantYAML)
	}
}

// One run must report all problems of a file, not only the first.
func TestReportsAllProblems(t *testing.T) {
	_, err := LoadEntry("testdata/bad.yaml")
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an InvalidError", err)
	}
	goldie.New(t).Assert(t, "bad", []byte(err.Error()+"\n"))
}

func TestDocumentProblems(t *testing.T) {
	tests := []struct {
		name   string
		source string
		want   Problem
	}{
		{"empty", "", Problem{1, 1, "", "the file holds no settings"}},
		{"comment only", "# nothing\n", Problem{1, 1, "", "the file holds no settings"}},
		{"two documents", "zone: a\n---\nzone: b\n", Problem{3, 5, "", "the file holds a second document; keep one"}},
		{"no mapping", "- a\n", Problem{1, 1, "", "must be a mapping of: url"}},
		{"alias", "a: &x http://h\nurl: *x\n", Problem{2, 6, "url", "aliases are not supported; write the value out"}},
		{"same key twice", "url: http://a\nurl: http://b\n", Problem{2, 1, "", `mapping key "url" already defined at [1:1]`}},
		{"not YAML", "url: [\n", Problem{1, 6, "", "sequence end token ']' not found"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var target Platform
			problems := decode([]byte(test.source), &target)
			for _, problem := range problems {
				if problem == test.want {
					return
				}
			}
			t.Fatalf("got %+v, want %+v among them", problems, test.want)
		})
	}
}

func TestUnreadableFile(t *testing.T) {
	_, err := LoadAgent(filepath.Join(t.TempDir(), "none.yaml"))
	if !errors.Is(err, ErrUnreadable) || !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("got %v, want ErrUnreadable and ErrNotExist", err)
	}
}
