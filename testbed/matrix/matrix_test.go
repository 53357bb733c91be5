package matrix

import (
	"context"
	"os"
	"testing"

	"github.com/applepier/applepier/testbed/fleet"
)

var binaries *fleet.Binaries

func TestMain(m *testing.M) {
	var err error
	if binaries, err = fleet.Build(context.Background()); err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
	code := m.Run()
	binaries.Remove()
	os.Exit(code)
}

func check(t *testing.T, c Cell) {
	t.Helper()
	result := Run(t.Context(), binaries, c)
	t.Log(result)
	if !result.Holds() {
		t.Errorf("%s\n%s", result, result.Logs)
	}
}

func TestTrial(t *testing.T) {
	for _, step := range RequestSteps {
		t.Run(string(step), func(t *testing.T) {
			check(t, Cell{Subject: SubjectSummary, Step: step, Faults: []Kind{Cut}, Seed: 1})
		})
	}
}
