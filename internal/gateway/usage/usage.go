// Package usage counts the requests that backend servers began to run for each customer,
// aggregates the counts of all gateways and reports them to the platform: once for each
// window of time, by one gateway at a time. Start reading at Reporter; what may be sent
// when is decided by Ledger.
//
// Counts are cumulative by gateway, start of its process, window and customer, so that
// updates may be lost, repeated or reordered. A report is stored under the
// reporter's lease before it is sent for the first time, and sent as it is stored from
// then on, by whoever holds the lease: the platform never gets two that differ.
package usage

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors of a Platform.
var (
	// ErrDeposed: the platform has seen a higher generation.
	ErrDeposed = errors.New("a later holder has reported")
	// ErrBusy: the platform took nothing, and asks for less.
	ErrBusy = errors.New("platform takes no more calls for now")
	// ErrNoAnswer: the report may have been taken, or may be later.
	ErrNoAnswer = errors.New("report was not answered")
	// ErrRefused: the platform doesn't take this report.
	ErrRefused = errors.New("report was refused")
)

// Holder is who reports.
type Holder struct {
	// Name is the VM's.
	Name string
	// Generation grows with each change of holder.
	Generation uint64
}

// Report is what is reported of a window.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Window uint64
	// Counts are of requests, by customer; customers without any are left out.
	Counts map[string]int64
}

// Platform takes reports.
type Platform interface {
	// Report sends a report: ErrDeposed, ErrBusy, ErrNoAnswer or ErrRefused.
	Report(ctx context.Context, h Holder, r Report) error
}
