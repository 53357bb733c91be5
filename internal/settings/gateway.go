package settings

import "time"

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
	// Log says how much is logged.
	Log Log `yaml:"log"`
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
