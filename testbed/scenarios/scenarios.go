// Package scenarios holds the load of the two users, as mixes of work and
// shapes of load that go together freely. Start reading at Load.
package scenarios

import (
	"embed"
	"strings"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/load"
)

//go:embed mixes/*.yaml shapes/*.yaml
var files embed.FS

const suffix = ".yaml"

// Load returns the scenario of a mix and a shape, by their names.
func Load(mix, shape string) (load.Scenario, error) {
	mixText, err := Mix(mix)
	if err != nil {
		return load.Scenario{}, err
	}
	shapeText, err := Shape(shape)
	if err != nil {
		return load.Scenario{}, err
	}
	return load.ParseScenario(mixText, shapeText)
}

// Mix returns the YAML of a mix.
func Mix(name string) ([]byte, error) {
	return read("mixes", name)
}

// Shape returns the YAML of a shape.
func Shape(name string) ([]byte, error) {
	return read("shapes", name)
}

// Mixes lists the names of the mixes.
func Mixes() []string {
	return names("mixes")
}

// Shapes lists the names of the shapes.
func Shapes() []string {
	return names("shapes")
}

func read(folder, name string) ([]byte, error) {
	text, err := files.ReadFile(folder + "/" + name + suffix)
	if err != nil {
		return nil, errors.Errorf("no %q among the %s: %s", name, folder, strings.Join(names(folder), ", "))
	}
	return text, nil
}

func names(folder string) []string {
	entries, err := files.ReadDir(folder)
	if err != nil {
		return nil
	}
	var list []string
	for _, entry := range entries {
		list = append(list, strings.TrimSuffix(entry.Name(), suffix))
	}
	return list
}
