package settings

// Platform says where the platform's services are.
type Platform struct {
	// URL is the base address of the platform's HTTP services.
	URL string `yaml:"url" validate:"required,http_url"`
}

// Keys are shared secrets, each from a file or an environment variable.
type Keys struct {
	// Operator lets its bearer use the administration API.
	Operator Secret `yaml:"operator"`
	// System lets the system's own processes talk to each other.
	System Secret `yaml:"system"`
}

// Secret names where a secret is read from; exactly one field is set.
type Secret struct {
	File string `yaml:"file,omitempty"`
	Env  string `yaml:"env,omitempty"`
}

// Callers says how callers are told apart.
type Callers struct {
	// TrustCustomerHeader takes the customer from X-Applepier-Customer when
	// the caller sends no API key; for entries behind a front that sets it.
	TrustCustomerHeader bool `yaml:"trust_customer_header"`
}

// Log says how much is logged.
type Log struct {
	// Level is debug, info, warn or error; info when empty.
	Level string `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// BackendKind is what kind of server an agent stands beside.
type BackendKind string

// Kinds of backend servers.
const (
	// BackendEngine is a model's engine.
	BackendEngine BackendKind = "engine"
	// BackendService is a plain service.
	BackendService BackendKind = "service"
)

// Backend is the backend server beside an agent.
type Backend struct {
	// Kind is engine or service.
	Kind BackendKind `yaml:"kind" validate:"required,oneof=engine service"`
	// Serves is the model or the plain service's name.
	Serves string `yaml:"serves" validate:"required"`
	// URL is its base address, on the same VM.
	URL string `yaml:"url" validate:"required,http_url"`
	// ChecksFence says whether it refuses orders with an old fencing number.
	ChecksFence bool `yaml:"checks_fence"`
}
