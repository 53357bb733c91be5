package scenarios_test

import (
	"strings"
	"testing"

	"github.com/applepier/applepier/testbed/scenarios"
)

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
				t.Errorf("%s, %s: its name is %q", mix, shape, scenario.Name())
			}
		}
	}
}

func TestUnknownNameErrorListsAvailableNames(t *testing.T) {
	if _, err := scenarios.Load("tampere", "noisy"); err == nil || !strings.Contains(err.Error(), "burst-2x") {
		t.Errorf("got %v", err)
	}
}
