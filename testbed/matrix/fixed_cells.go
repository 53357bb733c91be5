package matrix

// FixedCells returns the part of the matrix that CI runs: a crash, a pause and a
// broken connection at each step of non-repeatable work, every fault in the
// middle of a stream, a selection of cells of the other subjects, and every cell
// that once exposed a bug in the system, with its seed. Cells with DrainListed
// are run only with the complete matrix, because drainingLimit, a few seconds,
// can't be met reliably on a busy machine.
func FixedCells() []Cell {
	var cells []Cell
	for _, step := range RequestSteps {
		for _, kind := range []FaultKind{KillEntry, KillAgent, KillEngine, PauseAgent, SilentDown} {
			cells = append(cells, singleFaultCell(SubjectDocket, step, kind))
		}
	}
	for _, kind := range RequestFaults {
		cells = append(cells, singleFaultCell(SubjectSummary, StepMidStream, kind))
	}
	cells = append(cells,
		singleFaultCell(SubjectService, StepBodySent, KillAgent),
		singleFaultCell(SubjectService, StepStarted, KillEntry),
		singleFaultCell(SubjectService, StepStarted, SilentDown),
		singleFaultCell(SubjectService, StepStarted, CutResponse),
		singleFaultCell(SubjectService, StepStarted, KillService),
		singleFaultCell(SubjectTargets, StepWriteLost, TwoOperators),
		singleFaultCell(SubjectTargets, StepWriteLost, KillEntry),
		singleFaultCell(SubjectTargets, StepAccepted, KillEntry),
		singleFaultCell(SubjectTargets, StepSpreading, PauseAgent),
		Cell{Subject: SubjectTargets, Step: StepAccepted, Faults: []FaultKind{PlatformDown, FreshEntry}, Seed: 1},
		singleFaultCell(SubjectStop, StepUnderLoad, StopEntry),
		singleFaultCell(SubjectBurst, StepBurst, KillEntry),
		Cell{Subject: SubjectStop, Step: StepUnderLoad, Faults: []FaultKind{StopEntry, DrainVM}, Seed: 1},
		Cell{Subject: SubjectDraining, Step: StepUnderLoad, Faults: []FaultKind{DrainVM, ListLags}, Seed: 1},
	)
	return append(cells, regressionCells()...)
}

// regressionCells returns the cells that exposed bugs in the system. They must
// not be changed.
func regressionCells() []Cell {
	return []Cell{
		// An agent got no updates because its idle connection had gone silent.
		singleFaultCell(SubjectTargets, StepBeforeWrite, SilentUp),
		singleFaultCell(SubjectTargets, StepBeforeWrite, SilentDown),
		// A change that only its entry knew took effect late after that entry died.
		{Subject: SubjectTargets, Step: StepAccepted, Faults: []FaultKind{KillEntry, PlatformDown}, Seed: 1},
		// A ticket that was placed again was sent on the same silent connection.
		{Subject: SubjectDocket, Step: StepWaiting, Faults: []FaultKind{Silent, Silent}, Seed: 13},
	}
}

// singleFaultCell returns a cell with one fault and seed 1.
func singleFaultCell(subject Subject, step Step, kind FaultKind) Cell {
	return Cell{Subject: subject, Step: step, Faults: []FaultKind{kind}, Seed: 1}
}
