package fleet

import (
	"time"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/targets"
)

// Options configures a fleet.
type Options struct {
	// Binaries holds the built programs; if nil, Start builds them.
	Binaries *Binaries
	// Entries is the number of entries.
	Entries int
	// Backends describes the backend servers; each gets an agent.
	Backends []BackendSpec
	// Classes are written to the platform before the entries start. An entry
	// doesn't become ready while there are none.
	Classes []targets.Class
	// Customers are written with the classes; if empty, DefaultCustomer.
	Customers []string
	// Zones are the availability zones, assigned to VMs round-robin; if empty, one zone.
	Zones []string
	// LogLevel is the log level of entries and agents; if empty, info.
	LogLevel string
	// Route, if set, returns the address at which one process reaches
	// another, for example that of a fault proxy.
	Route func(Link) (string, error)
}

// DefaultCustomer is the only customer if Options.Customers is empty.
const DefaultCustomer = "kaivonkansi"

// CustomerKey returns a customer's API key.
func CustomerKey(customer string) string { return "key-of-customer-" + customer }

func (o Options) customers() []string {
	if len(o.Customers) == 0 {
		return []string{DefaultCustomer}
	}
	return o.Customers
}

// BackendSpec describes one backend server.
type BackendSpec struct {
	// Kind selects an engine or a plain service.
	Kind settings.BackendKind
	// Serves is the name of the model or plain service.
	Serves string
	// Capacity is the number of concurrent streams an engine runs at full speed.
	Capacity int
	// TokenInterval is the time between an engine's tokens at full speed, in
	// whole milliseconds.
	TokenInterval time.Duration
	// PrefillPerToken is the engine's prefill time per uncached prompt token,
	// in whole microseconds; zero selects the engine's default.
	PrefillPerToken time.Duration
	// LoadReportInterval is the time between updates of an engine's load
	// report, in whole milliseconds; zero selects the engine's default.
	LoadReportInterval time.Duration
	// IgnoreFencingTokens makes an engine accept orders with stale fencing tokens.
	IgnoreFencingTokens bool
	// SoftwareVersion is the version that an engine reports; empty reports none.
	SoftwareVersion string
}

// Engines returns specs of count identical engines of one model. The interval
// between tokens is in whole milliseconds.
func Engines(count int, model string, capacity int, interval time.Duration) []BackendSpec {
	specs := make([]BackendSpec, 0, count)
	for range count {
		specs = append(specs, BackendSpec{
			Kind:          settings.BackendEngine,
			Serves:        model,
			Capacity:      capacity,
			TokenInterval: interval,
		})
	}
	return specs
}

// LinkKind is the pair of roles that a link connects.
type LinkKind int

// Link kinds.
const (
	// LinkAgent connects all entries to one agent.
	LinkAgent LinkKind = iota + 1
	// LinkBackend connects an agent to its backend server.
	LinkBackend
	// LinkPlatform connects one process to the platform.
	LinkPlatform
)

// Link describes a connection for which Options.Route returns the address.
type Link struct {
	Kind LinkKind
	// From is the name of the connecting process; empty for LinkAgent.
	From string
	// To is the name of the listening process, and Addr its host:port.
	To   string
	Addr string
}
