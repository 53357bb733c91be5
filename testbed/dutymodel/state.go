// Package dutymodel explores the protocol by which one gateway at a time reports usage:
// election, the write ahead of a report, and the report itself, under lost, late and
// doubled calls, kills, and a store that returns from an older copy. All states within
// stated bounds are visited, and what must hold is checked in each. The decisions are the
// product's own (usage.Ledger, usage.Recover, lease.NextFence). Start reading at Explore.
package dutymodel

// Size of the model.
const (
	gateways = 3
	windows  = 2
	// mostLate bounds the calls of each kind that are on their way.
	mostLate = 2
	eras     = 2
	// mostGenerations bounds the generations of an era.
	mostGenerations = 4
)

// ledger is a usage.Ledger whose reports are told apart by a number; 0 is none.
type ledger struct {
	found     bool
	era       uint64
	finalized uint64
	pending   [windows]uint8
}

// leaseRow is the lease's row; version 0 says that there is none.
type leaseRow struct {
	version uint8
	fence   uint64
	// write is unique to the write.
	write uint16
}

// contents are what the store holds.
type contents struct {
	version uint8
	leases  [eras]leaseRow
	ledger  ledger
}

type store struct {
	contents
	era      uint64
	copied   bool
	older    contents
	returned bool
}

// transaction is a write of the lease's row, with a ledger where a report is fixed.
type transaction struct {
	by     uint8
	row    uint8
	expect uint8
	era    uint64
	fence  uint64
	write  uint16
	// window is the one that is fixed, and content its report; 0 for an election.
	window  uint64
	content uint8
	ledger  ledger
}

// gateway is one process.
type gateway struct {
	holds   bool
	fence   uint64
	era     uint64
	version uint8
	ledger  ledger
	// own are the reports that it has fixed itself.
	own [windows]uint8
	// open is a write whose outcome isn't known; its write is 0 for none.
	open transaction
	// refused is the fence under which the platform refused it.
	refused uint64
}

// call is a report on its way.
type call struct {
	by      uint8
	fence   uint64
	window  uint8
	content uint8
}

// state is all of the model. It is compared as a value.
type state struct {
	store    store
	gateways [gateways]gateway
	late     [mostLate]transaction
	calls    [mostLate]call
	// over is how many windows have ended.
	over uint8
	// accepted are the reports that the platform took, highest the highest generation that
	// it has seen, and holders which gateway called first under each generation.
	accepted [windows]uint8
	highest  uint64
	holders  [eras][mostGenerations + 1]uint8
	writes   uint16
	contents uint8
	kills    uint8
	// broken is what doesn't hold; empty for nothing.
	broken string
}
