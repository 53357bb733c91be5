package settings

// Agent holds the settings of the process beside a backend server.
type Agent struct {
	// Process is the VM's name, unique in the fleet.
	Process string `yaml:"process" validate:"required"`
	// Zone is the VM's availability zone.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the host:port for entries, metrics and health.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// Platform says where the platform's services are.
	Platform Platform `yaml:"platform"`
	// Seeds are host:port addresses of processes to ask while the platform
	// is down; they may be empty.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// Keys tell operators and the system's processes apart.
	Keys Keys `yaml:"keys"`
	// Backend is the backend server beside this process.
	Backend Backend `yaml:"backend"`
	// Log says how much is logged.
	Log Log `yaml:"log"`
}
