package settings

// Agent holds the settings of the agent process that runs beside a backend
// server on its VM.
type Agent struct {
	// Process is the VM's name, unique in the fleet.
	Process string `yaml:"process" validate:"required"`
	// Zone is the VM's availability zone.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the host:port that serves entries, metrics and health
	// checks.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// Platform locates the platform's services.
	Platform Platform `yaml:"platform"`
	// Seeds are host:port addresses of processes to query while the platform
	// is unavailable; the list may be empty.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// Keys authenticate operators and the system's own processes.
	Keys Keys `yaml:"keys"`
	// Backend describes the backend server on the same VM.
	Backend Backend `yaml:"backend"`
	// Log configures logging.
	Log Log `yaml:"log"`
}
