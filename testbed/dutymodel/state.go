// Package dutymodel is a model checker for the protocol by which one gateway at a time
// reports usage: the election, the write of a report to the store before it is sent, and
// the report itself. Calls may be lost, late or duplicated, gateways may be killed, and the
// store may be restored from an older snapshot. Explore visits the states within given bounds
// and checks the invariants in each. The decisions are made by the production code
// (usage.Ledger, usage.RecoverLedger, lease.NextFencingToken). Start reading at Explore.
package dutymodel

// Size of the model.
const (
	gateways = 3
	windows  = 2
	// maxLate bounds the late calls of each kind.
	maxLate = 2
	eras    = 2
	// maxTokenCounter bounds the counter of the fencing tokens of an era.
	maxTokenCounter = 4
)

// ledger is a usage.Ledger in which a number stands for a report's contents; 0 means no
// report.
type ledger struct {
	found     bool
	era       uint64
	finalized uint64
	pending   [windows]uint8
}

// leaseRow is the lease's row; version 0 means that the row doesn't exist.
type leaseRow struct {
	version uint8
	token   uint64
	// writeID identifies the write that stored the row.
	writeID uint16
}

// storeData is the data in the store.
type storeData struct {
	version uint8
	leases  [eras]leaseRow
	ledger  ledger
}

// store is the store with a snapshot of its data. Its era increases when the store is restored from
// the snapshot.
type store struct {
	storeData
	era         uint64
	hasSnapshot bool
	snapshot    storeData
	restored    bool
}

// transaction is a write of the lease's row, together with the ledger if it finalizes a
// report.
type transaction struct {
	gateway         uint8
	row             uint8
	expectedVersion uint8
	era             uint64
	token           uint64
	writeID         uint16
	// window is the window that is finalized, and content its report; both are 0 for an
	// election.
	window  uint64
	content uint8
	ledger  ledger
}

// gateway is the memory of one gateway process.
type gateway struct {
	holds   bool
	token   uint64
	era     uint64
	version uint8
	ledger  ledger
	// ownReports are the contents of the reports that this process has finalized.
	ownReports [windows]uint8
	// unresolved is a write with an unknown outcome; its writeID is 0 if there is none.
	unresolved transaction
	// refusedToken is the fencing token of the last report that the platform refused.
	refusedToken uint64
}

// reportCall is a report that is sent to the platform. Its window is numbered from 0.
type reportCall struct {
	gateway uint8
	token   uint64
	window  uint8
	content uint8
}

// state is the state of the complete model. It must stay comparable.
type state struct {
	store       store
	gateways    [gateways]gateway
	lateWrites  [maxLate]transaction
	lateReports [maxLate]reportCall
	// endedWindows is the number of windows that have ended.
	endedWindows uint8
	// accepted holds the contents of the reports that the platform accepted, highestToken
	// the highest fencing token that it has seen, and firstUsers, for each fencing token,
	// the index of the gateway that first used it, plus 1.
	accepted     [windows]uint8
	highestToken uint64
	firstUsers   [eras][maxTokenCounter + 1]uint8
	writeCount   uint16
	reportCount  uint8
	killCount    uint8
	// violation describes the violated invariant; it is empty if there is none.
	violation string
}
