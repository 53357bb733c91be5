package dutymodel

// Guards are the parts of the protocol that can be taken out.
type Guards struct {
	// Condition has writes expect the lease's version.
	Condition bool
	// WriteAhead has a report stored before it is sent.
	WriteAhead bool
	// StepDown has a holder that was refused call no more.
	StepDown bool
	// EraInFence has generations begin with the store's era.
	EraInFence bool
	// EraRows gives each era a lease's row of its own, and closes those of earlier ones.
	EraRows bool
	// EraInLedger has windows left out that may have been reported in an earlier era.
	EraInLedger bool
	// EraOfAnswer takes a write as done only if it was answered in the era of its sending.
	EraOfAnswer bool
	// Adopt has a new holder go on from the stored ledger.
	Adopt bool
}

// All has all guards.
func All() Guards {
	return Guards{
		Condition: true, WriteAhead: true, StepDown: true, EraInFence: true, EraRows: true, EraInLedger: true, EraOfAnswer: true, Adopt: true,
	}
}
