package scenarios_test

import (
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/scenarios"
)

// Guards against a mix or shape that can't be parsed or combined with the others.
func TestAllScenariosAreValid(t *testing.T) {
	if len(scenarios.Mixes()) == 0 || len(scenarios.Shapes()) == 0 {
		t.Fatal("there are no scenarios")
	}
	for _, mix := range scenarios.Mixes() {
		for _, shape := range scenarios.Shapes() {
			scenario, err := scenarios.Load(mix, shape)
			if err != nil {
				t.Errorf("%s, %s: %v", mix, shape, err)
			}
			if scenario.Name() != mix+" "+shape {
				t.Errorf("%s, %s: got scenario name %q", mix, shape, scenario.Name())
			}
		}
	}
}

// Guards against an error for a mistyped name that doesn't list the available names.
func TestUnknownNameErrorListsAvailableNames(t *testing.T) {
	if _, err := scenarios.Load("tampere", "noisy"); err == nil || !strings.Contains(err.Error(), "burst-2x") {
		t.Errorf("got error %v, want one that lists the available shapes", err)
	}
}
