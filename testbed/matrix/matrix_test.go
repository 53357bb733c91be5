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

func checkCell(t *testing.T, c Cell) {
	t.Helper()
	result := Run(t.Context(), binaries, c)
	t.Log(result)
	if !result.Passed() {
		t.Errorf("%s\n%s", result, result.Logs)
	}
}

// TestFixedCells runs the cells of FixedCells; no guarantee may be broken.
func TestFixedCells(t *testing.T) {
	slots := make(chan struct{}, parallelCells)
	for _, cell := range FixedCells() {
		t.Run(cell.Name(), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			checkCell(t, cell)
		})
	}
}

// parallelCells is the number of fleets that run in parallel.
const parallelCells = 4

// Guards against random cells that can't be run again from a failure's seed, and against seeds that
// all draw the same cells.
func TestPairCellsAreReproducible(t *testing.T) {
	first, again, other := PairCells(1, 30), PairCells(1, 30), PairCells(2, 30)
	same := 0
	for i := range first {
		if first[i].Name() != again[i].Name() {
			t.Fatalf("pair %d differs with the same seed: %s, then %s", i, first[i].Name(), again[i].Name())
		}
		if first[i].Name() == other[i].Name() {
			same++
		}
	}
	if same == len(first) {
		t.Fatal("a different seed draws the same pairs")
	}
}
