// Package settings reads and validates the YAML settings files of the entry,
// agent and gateway processes. The settings file is a process's only source for
// its addresses and availability zone. Start reading at Entry.
package settings

// Entry holds the settings of an entry.
type Entry struct {
	// Process is the VM's name, unique in the fleet.
	Process string `yaml:"process" validate:"required"`
	// Zone is the VM's availability zone.
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the host:port that serves callers.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// AdminListen is the host:port that serves operators, metrics and health
	// checks.
	AdminListen string `yaml:"admin_listen" validate:"required,hostname_port,nefield=Listen"`
	// Platform locates the platform's services.
	Platform Platform `yaml:"platform"`
	// Seeds are host:port addresses of processes from which a new VM fetches the
	// targets and the list of processes while the platform is unavailable; the
	// list may be empty.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// Keys authenticate operators and the system's own processes.
	Keys Keys `yaml:"keys"`
	// CallerAuth configures how the customer of a request is determined.
	CallerAuth CallerAuth `yaml:"callers"`
	// Log configures logging.
	Log Log `yaml:"log"`
}
