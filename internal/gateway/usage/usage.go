// Package usage counts the requests that backend servers started to run for each customer,
// aggregates the counts of all gateways and reports them to the platform: once for each time
// window, by one gateway at a time. Start reading at Reporter; Ledger decides which windows may be
// reported.
//
// Counts are cumulative per gateway, instance, window and customer, so updates may be lost,
// repeated or reordered. A report is finalized (stored under the reporter's lease) before it is sent
// for the first time. After that every lease holder sends it as stored, so the platform never receives
// two different reports of one window.
package usage

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors returned by a Platform.
var (
	// ErrFenced means that the platform has seen a higher generation.
	ErrFenced = errors.New("platform has seen a higher generation")
	// ErrBusy means that the platform did not accept the report because it receives too many calls.
	ErrBusy = errors.New("platform is busy")
	// ErrNoResponse means that the platform may have accepted the report or may still do so.
	ErrNoResponse = errors.New("no response to report")
	// ErrRejected means that the platform does not accept this report.
	ErrRejected = errors.New("platform rejected report")
)

// Holder identifies the lease holder that sends a report.
type Holder struct {
	// Name is the VM's name.
	Name string
	// Generation is the lease's fencing token, which increases with each change of holder. Reports,
	// logs and metrics call it generation.
	Generation uint64
}

// Report holds the counts of one window.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Window uint64
	// Counts holds the number of requests by customer, without customers that have none.
	Counts map[string]int64
}

// Platform receives reports.
type Platform interface {
	// Report sends a report. It returns ErrFenced, ErrBusy, ErrNoResponse or ErrRejected, possibly
	// wrapped, if the report isn't known to have been accepted.
	Report(ctx context.Context, h Holder, r Report) error
}
