package matrix

import "math/rand/v2"

// RequestCells returns the cells of every fault at every step of a request, for
// non-repeatable and repeatable requests.
func RequestCells(seed uint64) []Cell {
	var cells []Cell
	for _, subject := range []Subject{SubjectDocket, SubjectSummary} {
		for _, step := range RequestSteps {
			for _, kind := range RequestFaults {
				cells = append(cells, Cell{Subject: subject, Step: step, Faults: []FaultKind{kind}, Seed: seed})
			}
		}
	}
	return cells
}

// PairCells draws count random cells with two faults at once. Every third cell
// has the same fault twice. The same seed and count give the same cells.
func PairCells(seed uint64, count int) []Cell {
	rng := rand.New(rand.NewPCG(seed, uint64(count)))
	cells := make([]Cell, 0, count)
	for i := range count {
		first := RequestFaults[rng.IntN(len(RequestFaults))]
		second := RequestFaults[rng.IntN(len(RequestFaults))]
		if i%sameFaultInterval == 0 {
			second = first
		}
		subject := SubjectDocket
		if rng.IntN(2) == 0 {
			subject = SubjectSummary
		}
		step := RequestSteps[rng.IntN(len(RequestSteps))]
		cells = append(cells, Cell{Subject: subject, Step: step, Faults: []FaultKind{first, second}, Seed: seed + uint64(i)})
	}
	return cells
}

// sameFaultInterval makes every third pair consist of the same fault twice.
const sameFaultInterval = 3

// AllCells returns the complete matrix for one seed, with the given number of
// fault pairs.
func AllCells(seed uint64, pairs int) []Cell {
	cells := RequestCells(seed)
	for _, step := range []Step{StepBeforeWrite, StepWriteLost, StepAccepted, StepSpreading} {
		for _, faults := range TargetFaults {
			cells = append(cells, Cell{Subject: SubjectTargets, Step: step, Faults: faults, Seed: seed})
		}
	}
	for _, step := range ServiceSteps {
		for _, kind := range ServiceFaults {
			cells = append(cells, Cell{Subject: SubjectService, Step: step, Faults: []FaultKind{kind}, Seed: seed})
		}
	}
	for _, step := range []Step{StepTaken, StepRenewed, StepOrdered} {
		for _, kind := range LeaseFaults {
			cells = append(cells, Cell{Subject: SubjectLease, Step: step, Faults: []FaultKind{kind}, Seed: seed})
		}
	}
	for _, faults := range StopFaults {
		cells = append(cells, Cell{Subject: SubjectStop, Step: StepUnderLoad, Faults: faults, Seed: seed})
	}
	for _, faults := range DrainingFaults {
		cells = append(cells, Cell{Subject: SubjectDraining, Step: StepUnderLoad, Faults: faults, Seed: seed})
	}
	for _, step := range []Step{StepBurst, StepSaturation} {
		for _, kind := range BurstFaults {
			cells = append(cells, Cell{Subject: SubjectBurst, Step: step, Faults: []FaultKind{kind}, Seed: seed})
		}
	}
	return append(cells, PairCells(seed, pairs)...)
}
