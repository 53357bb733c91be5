// Package storage defines the interfaces to the platform's services: a
// transactional table service, an object store and a list of VMs. HTTPClient
// implements them on the platform's HTTP API. Start reading at Table.
package storage

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors returned by the platform's services.
var (
	// ErrUnavailable means that the service did not accept the call, or that a
	// read got no usable response; nothing was written.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrOutcomeUnknown means that a write got no response, or one that doesn't
	// show whether it was applied. It may still take effect. The caller
	// determines the outcome by reading back.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrConflict means that a row did not have the version that a write
	// expected; no write of the transaction was applied.
	ErrConflict = errors.New("row is at another version")
	// ErrNotFound means that the row or object doesn't exist.
	ErrNotFound = errors.New("not found")
)

// Row is one row of the table service.
type Row struct {
	// Key identifies the row.
	Key string `json:"key"`
	// Value is opaque to the service.
	Value []byte `json:"value"`
	// Version increases with each write of the row; the first version is 1.
	Version uint64 `json:"version"`
}

// AnyVersion, as the value of Write.Expect, makes the write unconditional.
const AnyVersion = ^uint64(0)

// Write is one write of a transaction, conditional on the version of the row.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Expect is the version the row must have; 0 means that it must not exist.
	Expect uint64 `json:"expect"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns one row. Its errors are ErrNotFound and ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix, sorted by key. Its
	// error is ErrUnavailable.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes or none. Its errors are ErrConflict,
	// ErrUnavailable and ErrOutcomeUnknown.
	Commit(ctx context.Context, writes []Write) error
}

// EraReporter is implemented by a Table whose service may be restored from an older
// copy of its data. Writes made after the copy are then lost, and their row versions are
// assigned again. Each restore begins a new era.
type EraReporter interface {
	// Era returns the number of restores detected so far. If the era changes during a
	// call, Get returns ErrUnavailable and Commit returns ErrOutcomeUnknown.
	Era() uint64
}

// ObjectStore is the object store service.
type ObjectStore interface {
	// PutObject stores a value. Its errors are ErrUnavailable and
	// ErrOutcomeUnknown.
	PutObject(ctx context.Context, key string, value []byte) error
	// GetObject returns a value. Its errors are ErrNotFound and ErrUnavailable.
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// VMRole is the kind of process that runs on a VM.
type VMRole string

// Roles of VMs.
const (
	RoleEntry   VMRole = "entry"
	RoleBackend VMRole = "backend"
)

// VM is one item of the platform's VM list, which is eventually consistent.
type VM struct {
	// Name identifies the VM and is not reused after the VM is removed.
	Name string `json:"name"`
	// Addr is the host:port at which other processes connect to the process
	// on the VM: an agent's listen address or an entry's admin_listen.
	Addr string `json:"addr"`
	// Zone is the VM's availability zone.
	Zone string `json:"zone"`
	// Role distinguishes entry VMs from backend server VMs.
	Role VMRole `json:"role"`
	// Draining means that the VM takes no new work.
	Draining bool `json:"leaving,omitempty"`
	// Serves names the model or plain service that a backend server VM runs.
	Serves string `json:"serves,omitempty"`
}

// VMList is the platform's list of live and draining VMs. It is eventually
// consistent.
type VMList interface {
	// VMs returns the list. Its error is ErrUnavailable.
	VMs(ctx context.Context) ([]VM, error)
}
