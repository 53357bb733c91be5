package matrix

// FixedCells is the part of the matrix that CI runs: a death, a pause and a
// broken connection at each step of work that must not be repeated, every
// fault in the middle of a stream, and every cell that once showed a fault of
// the product, with its seed. A VM that leaves by the list alone is left to the
// whole matrix: its bound of a few seconds can't be held against a busy machine.
func FixedCells() []Cell {
	var cells []Cell
	for _, step := range RequestSteps {
		for _, kind := range []Kind{KillEntry, KillAgent, KillEngine, PauseAgent, SilentDown} {
			cells = append(cells, single(SubjectDocket, step, kind))
		}
	}
	for _, kind := range RequestFaults {
		cells = append(cells, single(SubjectSummary, StepMidStream, kind))
	}
	cells = append(cells,
		single(SubjectService, StepBodySent, KillAgent),
		single(SubjectService, StepStarted, KillEntry),
		single(SubjectService, StepStarted, SilentDown),
		single(SubjectService, StepStarted, CutAnswer),
		single(SubjectService, StepStarted, KillService),
		single(SubjectTargets, StepWriteLost, TwoOperators),
		single(SubjectTargets, StepWriteLost, KillEntry),
		single(SubjectTargets, StepAccepted, KillEntry),
		single(SubjectTargets, StepSpreading, PauseAgent),
		Cell{Subject: SubjectTargets, Step: StepAccepted, Faults: []Kind{PlatformDown, FreshEntry}, Seed: 1},
		single(SubjectStop, StepUnderLoad, StopEntry),
		single(SubjectBurst, StepBurst, KillEntry),
		Cell{Subject: SubjectStop, Step: StepUnderLoad, Faults: []Kind{StopEntry, LeaveVM}, Seed: 1},
		Cell{Subject: SubjectLeaving, Step: StepUnderLoad, Faults: []Kind{LeaveVM, ListLags}, Seed: 1},
	)
	return append(cells, foundCells()...)
}

// foundCells showed faults of the product; they stay as they are.
func foundCells() []Cell {
	return []Cell{
		// An idle connection that had gone silent kept its agent without news.
		single(SubjectTargets, StepBeforeWrite, SilentUp),
		single(SubjectTargets, StepBeforeWrite, SilentDown),
		// A change known to its entry alone was late when that entry died.
		{Subject: SubjectTargets, Step: StepAccepted, Faults: []Kind{KillEntry, PlatformDown}, Seed: 1},
		// A ticket placed anew stayed with the silent connection.
		{Subject: SubjectDocket, Step: StepWaiting, Faults: []Kind{Silent, Silent}, Seed: 13},
	}
}

func single(subject Subject, step Step, kind Kind) Cell {
	return Cell{Subject: subject, Step: step, Faults: []Kind{kind}, Seed: 1}
}
