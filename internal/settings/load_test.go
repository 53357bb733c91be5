package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
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

// Guards against a price that is negative or not a number, with which no share could be computed, and
// against taking a price of 0 for an absent one.
func TestZonePrice(t *testing.T) {
	example, err := os.ReadFile("../../examples/gateway.yaml")
	if err != nil {
		t.Fatal(err)
	}
	load := func(price string) (Gateway, error) {
		path := filepath.Join(t.TempDir(), "gateway.yaml")
		source := regexp.MustCompile(`(?m)^  price: .*$`).ReplaceAll(example, []byte("  price: "+price))
		if err := os.WriteFile(path, source, 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadGateway(path)
	}
	for _, price := range []string{"0", "12.5"} {
		if s, err := load(price); err != nil || s.Zones.Price == nil || strconv.FormatFloat(*s.Zones.Price, 'g', -1, 64) != price {
			t.Errorf("price %s: %v, %v", price, s.Zones.Price, err)
		}
	}
	if s, err := load(""); err != nil || s.Zones.Price != nil {
		t.Errorf("absent price: %v, %v", s.Zones.Price, err)
	}
	for price, reason := range map[string]string{"-1": "must be 0 or more", ".nan": "must be 0 or more", ".inf": "must be 1e9 or less", "2e9": "must be 1e9 or less", "cheap": "must be a number"} {
		var invalid *InvalidError
		if _, err := load(price); !errors.As(err, &invalid) || len(invalid.Problems) != 1 || invalid.Problems[0].Field != "zones.price" || invalid.Problems[0].Reason != reason {
			t.Errorf("price %s: %v, want %q", price, err, reason)
		}
	}
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
