// Package scenarios contains built-in load scenarios as mixes of work and shapes of
// load, which can be combined freely. Start reading at Load.
package scenarios

import (
	"embed"
	"strings"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/load"
)

//go:embed mixes/*.yaml shapes/*.yaml
var embedded embed.FS

const fileSuffix = ".yaml"

// Load returns the scenario of a named mix and a named shape.
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

// Mix returns the YAML of a named mix.
func Mix(name string) ([]byte, error) {
	return read("mixes", name)
}

// Shape returns the YAML of a named shape.
func Shape(name string) ([]byte, error) {
	return read("shapes", name)
}

// Mixes returns the names of all mixes.
func Mixes() []string {
	return names("mixes")
}

// Shapes returns the names of all shapes.
func Shapes() []string {
	return names("shapes")
}

func read(folder, name string) ([]byte, error) {
	text, err := embedded.ReadFile(folder + "/" + name + fileSuffix)
	if err != nil {
		return nil, errors.Errorf("unknown name %q in %s; available: %s", name, folder, strings.Join(names(folder), ", "))
	}
	return text, nil
}

func names(folder string) []string {
	entries, err := embedded.ReadDir(folder)
	if err != nil {
		return nil
	}
	var list []string
	for _, entry := range entries {
		list = append(list, strings.TrimSuffix(entry.Name(), fileSuffix))
	}
	return list
}
