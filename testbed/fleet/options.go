package fleet

import (
	"time"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/targets"
)

// Options say what a fleet consists of.
type Options struct {
	// Binaries are the built programs; Start builds them when it is nil.
	Binaries *Binaries
	// Entries is how many entries there are.
	Entries int
	// Backends are the backend servers, each with an agent beside it.
	Backends []BackendSpec
	// Classes are written to the platform before the entries start; an entry
	// is not ready without any.
	Classes []targets.Class
	// Customers are written with the classes; DefaultCustomer when empty.
	Customers []string
	// Zones are given to the processes in turn; one zone when empty.
	Zones []string
	// LogLevel is the level of both programs; info when empty.
	LogLevel string
	// Route, when set, gives the address under which a process reaches
	// another, for example that of a fault proxy before it.
	Route func(Link) (string, error)
}

// DefaultCustomer is there when Options name no customers.
const DefaultCustomer = "kaivonkansi"

// CustomerKey is the API key that a customer of a fleet has.
func CustomerKey(customer string) string { return "key-of-customer-" + customer }

func (o Options) customers() []string {
	if len(o.Customers) == 0 {
		return []string{DefaultCustomer}
	}
	return o.Customers
}

// BackendSpec describes one backend server.
type BackendSpec struct {
	// Kind is engine or plain service.
	Kind settings.BackendKind
	// Serves is the model or the plain service's name.
	Serves string
	// Capacity is how many streams an engine runs at full speed.
	Capacity int
	// Interval is the time between an engine's tokens at full speed, in
	// whole milliseconds.
	Interval time.Duration
	// PrefillPerToken is the time an engine reads a prompt token that it has
	// not cached, in whole microseconds; its default when zero.
	PrefillPerToken time.Duration
	// LoadLag is how old an engine's load report can be; its default when zero.
	LoadLag time.Duration
	// IgnoresFence marks an engine that takes orders with old numbers.
	IgnoresFence bool
}

// Engines returns count alike engines of one model.
func Engines(count int, model string, capacity int, interval time.Duration) []BackendSpec {
	specs := make([]BackendSpec, 0, count)
	for range count {
		specs = append(specs, BackendSpec{
			Kind:     settings.BackendEngine,
			Serves:   model,
			Capacity: capacity,
			Interval: interval,
		})
	}
	return specs
}

// LinkKind says between which roles a link runs.
type LinkKind int

// Kinds of links.
const (
	// LinkAgent runs from all entries to one agent.
	LinkAgent LinkKind = iota + 1
	// LinkBackend runs from an agent to its backend server.
	LinkBackend
	// LinkPlatform runs from one process to the platform.
	LinkPlatform
)

// Link is a connection that one process is about to be told of.
type Link struct {
	Kind LinkKind
	// From names the process that connects; empty for LinkAgent.
	From string
	// To names the process that listens, and Addr is its host:port.
	To   string
	Addr string
}
