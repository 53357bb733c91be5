package matrix

import "math/rand/v2"

// RequestCells returns every fault at every step of a request, for both kinds
// of requests.
func RequestCells(seed uint64) []Cell {
	var cells []Cell
	for _, subject := range []Subject{SubjectDocket, SubjectSummary} {
		for _, step := range RequestSteps {
			for _, kind := range RequestFaults {
				cells = append(cells, Cell{Subject: subject, Step: step, Faults: []Kind{kind}, Seed: seed})
			}
		}
	}
	return cells
}

// PairCells draws count cells with two faults at once, among them the same
// fault twice.
func PairCells(seed uint64, count int) []Cell {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	cells := make([]Cell, 0, count)
	for i := range count {
		first := RequestFaults[random.IntN(len(RequestFaults))]
		second := RequestFaults[random.IntN(len(RequestFaults))]
		if i%sameEvery == 0 {
			second = first
		}
		subject := SubjectDocket
		if random.IntN(2) == 0 {
			subject = SubjectSummary
		}
		step := RequestSteps[random.IntN(len(RequestSteps))]
		cells = append(cells, Cell{Subject: subject, Step: step, Faults: []Kind{first, second}, Seed: seed + uint64(i)})
	}
	return cells
}

// sameEvery is how often a pair is the same fault twice.
const sameEvery = 3

// AllCells returns the whole matrix for one seed, with a number of pairs.
func AllCells(seed uint64, pairs int) []Cell {
	cells := RequestCells(seed)
	for _, step := range []Step{StepBeforeWrite, StepWriteLost, StepAccepted, StepSpreading} {
		for _, faults := range TargetFaults {
			cells = append(cells, Cell{Subject: SubjectTargets, Step: step, Faults: faults, Seed: seed})
		}
	}
	for _, step := range ServiceSteps {
		for _, kind := range ServiceFaults {
			cells = append(cells, Cell{Subject: SubjectService, Step: step, Faults: []Kind{kind}, Seed: seed})
		}
	}
	for _, step := range []Step{StepTaken, StepRenewed, StepOrdered} {
		for _, kind := range LeaseFaults {
			cells = append(cells, Cell{Subject: SubjectLease, Step: step, Faults: []Kind{kind}, Seed: seed})
		}
	}
	for _, faults := range StopFaults {
		cells = append(cells, Cell{Subject: SubjectStop, Step: StepUnderLoad, Faults: faults, Seed: seed})
	}
	for _, faults := range LeavingFaults {
		cells = append(cells, Cell{Subject: SubjectLeaving, Step: StepUnderLoad, Faults: faults, Seed: seed})
	}
	for _, step := range []Step{StepBurst, StepSaturation} {
		for _, kind := range BurstFaults {
			cells = append(cells, Cell{Subject: SubjectBurst, Step: step, Faults: []Kind{kind}, Seed: seed})
		}
	}
	return append(cells, PairCells(seed, pairs)...)
}
