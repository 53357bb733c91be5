package settings

import (
	"slices"
	"strings"
	"time"
)

// Gateway holds the settings of a gateway, a process on an entry VM that sends
// requests directly to the backend servers.
type Gateway struct {
	// Process is the VM's name, unique in the fleet.
	Process string `yaml:"process" validate:"required"`
	// Zone is the VM's availability zone.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the host:port that serves callers.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// AdminListen is the host:port that serves health checks and metrics.
	AdminListen string `yaml:"admin_listen" validate:"required,hostname_port,nefield=Listen"`
	// ReadyPath is the HTTP path of the readiness check of the platform's load
	// balancer.
	ReadyPath string `yaml:"ready_path" validate:"required,startswith=/"`
	// PeerListen is the host:port for other gateways: UDP datagrams, and TCP for
	// the handover of the desired state.
	PeerListen string `yaml:"peer_listen" validate:"required,hostname_port"`
	// StoreAddr is the host:port of the platform's store.
	StoreAddr string `yaml:"store" validate:"required,hostname_port"`
	// MemoryLimitMB is the memory limit of the process in MB; 0 means no limit.
	MemoryLimitMB float64 `yaml:"memory_mb" validate:"gte=0"`
	// Revocation configures how soon a revoked API key must stop working.
	Revocation Revocation `yaml:"revoke"`
	// Drain configures how soon draining servers must get no more requests.
	Drain Drain `yaml:"drain"`
	// RetryBudget limits retries across all gateways.
	RetryBudget RetryBudget `yaml:"retry"`
	// Zones configures routing between availability zones.
	Zones Zones `yaml:"zones"`
	// ShutdownTimeout is the maximum duration of a graceful shutdown.
	ShutdownTimeout time.Duration `yaml:"grace" validate:"gt=0"`
	// UsageReporting configures the usage reports for customers' requests.
	UsageReporting UsageReporting `yaml:"usage"`
	// Log configures logging.
	Log Log `yaml:"log"`
}

// DutyMetering is the platform's name for the duty to report usage.
const DutyMetering = "metering"

// UsageReporting configures how each customer's usage is reported to the platform. One
// gateway at a time sends the reports.
type UsageReporting struct {
	// Addr is the host:port that receives the reports; empty disables reporting.
	Addr string `yaml:"addr" validate:"omitempty,hostname_port"`
	// Duties is the comma-separated list of duties that the platform assigns to the
	// gateways; usage is reported only if it contains DutyMetering.
	Duties string `yaml:"duties"`
	// Window is the length of a reporting window.
	Window time.Duration `yaml:"window" validate:"gte=0"`
	// Delay is the time after the end of a window within which its report is due.
	Delay time.Duration `yaml:"delay" validate:"gte=0"`
	// Lease is the duration of the reporter's lease, during which no other gateway
	// may take over reporting.
	Lease time.Duration `yaml:"lease" validate:"gte=0"`
}

// Enabled reports whether usage is to be reported: Addr is set and Duties
// contains DutyMetering.
func (u UsageReporting) Enabled() bool {
	return u.Addr != "" && slices.Contains(strings.Split(u.Duties, ","), DutyMetering)
}

// Revocation configures how soon a revoked API key must stop working.
type Revocation struct {
	// Strict refuses requests with an API key while the gateway can't be certain
	// that the key hasn't been revoked.
	Strict bool `yaml:"strict"`
	// MaxDelay is the longest time a revoked key may keep working.
	MaxDelay time.Duration `yaml:"within" validate:"gte=0"`
}

// Drain configures how soon a draining backend server must get no more requests.
type Drain struct {
	// MaxDelay is the longest time for which a draining server may get requests, counted from the
	// store's acknowledgement of its entry or from its own response; 0 means two seconds.
	MaxDelay time.Duration `yaml:"within" validate:"gte=0"`
}

// Zones configures routing between availability zones.
type Zones struct {
	// Price is how many milliseconds of a caller's wait one megabyte of traffic between zones is worth.
	// If it is nil, the share of requests sent to other zones isn't planned.
	Price *float64 `yaml:"price" validate:"omitempty,gte=0,lte=1e9"`
}

// RetryBudget limits retries: the retries in each window may not exceed Ratio
// times the number of requests in it plus ExtraPerWindow.
type RetryBudget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64 `yaml:"ratio" validate:"gte=0"`
	// ExtraPerWindow is the number of retries allowed regardless of the number
	// of requests.
	ExtraPerWindow float64 `yaml:"extra" validate:"gte=0"`
	// Window is the time span over which the budget is computed.
	Window time.Duration `yaml:"window" validate:"gt=0"`
}

// LoadGateway reads and validates the settings file of a gateway. It returns the
// same errors as LoadEntry.
func LoadGateway(path string) (Gateway, error) {
	return load[Gateway](path)
}
