// Package storage is what the processes know of the platform: a
// transactional table service, an object store and a list of VMs. The
// interfaces are narrow; one implementation speaks the platform's HTTP
// protocol. Start reading at Table.
package storage

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors of the platform's services.
var (
	// ErrUnavailable: the service did not take the call; nothing was written.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrOutcomeUnknown: the answer was lost; a write may have taken effect.
	// The caller settles it by reading back.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrConflict: a row was not at the version that a write expected;
	// nothing of the transaction was written.
	ErrConflict = errors.New("row is at another version")
	// ErrNotFound: there is no such row or object.
	ErrNotFound = errors.New("not found")
)

// Row is one row of the table service.
type Row struct {
	// Key identifies the row.
	Key string `json:"key"`
	// Value is opaque to the service.
	Value []byte `json:"value"`
	// Version grows with each write of the row; the first is 1.
	Version uint64 `json:"version"`
}

// AnyVersion as a Write's Expect writes whatever the row's version is.
const AnyVersion = ^uint64(0)

// Write is one conditional write of a transaction.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Expect is the version the row must have; 0 means it must not exist.
	Expect uint64 `json:"expect"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Get reads one row; ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// List reads the rows whose keys start with prefix, in order of key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes or none: ErrConflict, ErrUnavailable or
	// ErrOutcomeUnknown.
	Commit(ctx context.Context, writes []Write) error
}

// Eras is implemented by a Table whose service may come back from an older copy: what was
// written since is gone, and versions are given out again.
type Eras interface {
	// Era counts the returns that are known of. A Get whose answer is of another era than
	// that of before the call is ErrUnavailable, and such a Commit ErrOutcomeUnknown.
	Era() uint64
}

// Objects is the object store.
type Objects interface {
	// PutObject stores a value; ErrUnavailable or ErrOutcomeUnknown.
	PutObject(ctx context.Context, key string, value []byte) error
	// GetObject reads a value; ErrNotFound or ErrUnavailable.
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// VMRole is what runs on a VM.
type VMRole string

// Roles of VMs.
const (
	RoleEntry   VMRole = "entry"
	RoleBackend VMRole = "backend"
)

// VM is one row of the platform's list, which lags.
type VM struct {
	// Name identifies the VM and is never used again after it has gone.
	Name string `json:"name"`
	// Addr is the host:port where the system's processes reach the one on it:
	// an agent's listen address, an entry's admin_listen.
	Addr string `json:"addr"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Role says whether it is an entry VM or a backend server's.
	Role VMRole `json:"role"`
	// Leaving VMs take no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Serves names the model or plain service of a backend server VM.
	Serves string `json:"serves,omitempty"`
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList interface {
	// VMs reads the list; ErrUnavailable.
	VMs(ctx context.Context) ([]VM, error)
}
