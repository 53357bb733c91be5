package dutymodel

// Guards selects the safety rules of the protocol that are in effect.
type Guards struct {
	// ConditionalWrites makes each write conditional on the version of the lease's row.
	ConditionalWrites bool
	// WriteAhead stores a report before it is sent.
	WriteAhead bool
	// StepDown makes a holder give up the lease once the platform has refused it.
	StepDown bool
	// EraInToken puts the store's era into the high bits of fencing tokens.
	EraInToken bool
	// RowPerEra uses one lease row for each era and invalidates the rows of earlier eras.
	RowPerEra bool
	// EraInLedger skips windows that may have been reported in an earlier era.
	EraInLedger bool
	// EraOfResponse accepts a write as done only if its response came in the era in which the
	// write was sent.
	EraOfResponse bool
	// AdoptLedger makes a new holder continue from the stored ledger.
	AdoptLedger bool
}

// AllGuards returns all guards, as the production code has them.
func AllGuards() Guards {
	return Guards{
		ConditionalWrites: true, WriteAhead: true, StepDown: true, EraInToken: true, RowPerEra: true, EraInLedger: true, EraOfResponse: true, AdoptLedger: true,
	}
}
