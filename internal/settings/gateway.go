package settings

import (
	"slices"
	"strings"
	"time"
)

// Gateway holds the settings of an entry VM's process that sends straight to
// the backend servers.
type Gateway struct {
	// Process is the VM's name, unique in the fleet.
	Process string `yaml:"process" validate:"required"`
	// Zone is the VM's availability zone.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the host:port for callers.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// AdminListen is the host:port for health and metrics.
	AdminListen string `yaml:"admin_listen" validate:"required,hostname_port,nefield=Listen"`
	// ReadyPath is where the platform's balancer asks whether this process
	// takes requests.
	ReadyPath string `yaml:"ready_path" validate:"required,startswith=/"`
	// PeerListen is the host:port for other gateways: datagrams, and over TCP
	// the handover of the desired state.
	PeerListen string `yaml:"peer_listen" validate:"required,hostname_port"`
	// Store is the host:port of the platform's store.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// MemoryMB is the memory that the process may use, in MB; 0 is no bound.
	MemoryMB float64 `yaml:"memory_mb" validate:"gte=0"`
	// Revoke says how soon a key that is taken away must stop working.
	Revoke Revoke `yaml:"revoke"`
	// Retry bounds sends beyond the first, over all gateways.
	Retry Retry `yaml:"retry"`
	// Grace is how long a process that is told to stop may still take.
	Grace time.Duration `yaml:"grace" validate:"gt=0"`
	// Usage says what is reported of customers' requests.
	Usage Usage `yaml:"usage"`
	// Log says how much is logged.
	Log Log `yaml:"log"`
}

// DutyUsage is the duty to report usage, as the platform names it.
const DutyUsage = "metering"

// Usage says how the requests of each customer are reported to the platform, by one
// process at a time.
type Usage struct {
	// Addr is the host:port that takes reports; empty for none.
	Addr string `yaml:"addr" validate:"omitempty,hostname_port"`
	// Duties names what the platform asks of the fleet, joined by commas; usage is reported
	// where DutyUsage is among it.
	Duties string `yaml:"duties"`
	// Window is the length of the spans of time that are reported, Delay within what time
	// after its end each is due, and Lease within what time two processes may not report
	// by turns.
	Window time.Duration `yaml:"window" validate:"gte=0"`
	Delay  time.Duration `yaml:"delay" validate:"gte=0"`
	Lease  time.Duration `yaml:"lease" validate:"gte=0"`
}

// Reported reports whether usage is to be reported.
func (u Usage) Reported() bool {
	return u.Addr != "" && slices.Contains(strings.Split(u.Duties, ","), DutyUsage)
}

// Revoke says how soon a key that is taken away must stop working.
type Revoke struct {
	// Strict refuses requests with a key where it isn't certain.
	Strict bool `yaml:"strict"`
	// Within is the bound.
	Within time.Duration `yaml:"within" validate:"gte=0"`
}

// Retry bounds sends beyond the first.
type Retry struct {
	// Ratio is how many a request earns, Extra how many are allowed besides,
	// in each Window.
	Ratio  float64       `yaml:"ratio" validate:"gte=0"`
	Extra  float64       `yaml:"extra" validate:"gte=0"`
	Window time.Duration `yaml:"window" validate:"gt=0"`
}

// LoadGateway reads and checks the settings of a gateway's process, with the
// errors of LoadEntry.
func LoadGateway(path string) (Gateway, error) {
	return load[Gateway](path)
}
