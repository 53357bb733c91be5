// Package settings reads the YAML settings of both programs. A process learns
// its addresses and availability zone there and nowhere else. Start reading
// at Entry.
package settings

// Entry holds the settings of an entry VM's process.
type Entry struct {
	// Process is the VM's name, unique in the fleet.
	Process string `yaml:"process" validate:"required"`
	// Zone is the VM's availability zone.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the host:port for callers.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// AdminListen is the host:port for operators, metrics and health.
	AdminListen string `yaml:"admin_listen" validate:"required,hostname_port,nefield=Listen"`
	// Platform says where the platform's services are.
	Platform Platform `yaml:"platform"`
	// Seeds are host:port addresses of processes that a fresh VM asks for the
	// targets and the fleet while the platform is down; they may be empty.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// Keys tell operators and the system's processes apart.
	Keys Keys `yaml:"keys"`
	// Callers says how callers are told apart.
	Callers Callers `yaml:"callers"`
	// Log says how much is logged.
	Log Log `yaml:"log"`
}
