package settings

// Platform locates the platform's services.
type Platform struct {
	// URL is the base URL of the platform's HTTP services.
	URL string `yaml:"url" validate:"required,http_url"`
}

// Keys holds the sources of the shared secrets, each a file or an environment
// variable.
type Keys struct {
	// Operator grants access to the administration API.
	Operator SecretSource `yaml:"operator"`
	// System authenticates the system's own processes to each other.
	System SecretSource `yaml:"system"`
}

// SecretSource names the file or environment variable that holds a secret.
// Exactly one field is set.
type SecretSource struct {
	File string `yaml:"file,omitempty"`
	Env  string `yaml:"env,omitempty"`
}

// CallerAuth configures how the customer of a request is determined.
type CallerAuth struct {
	// TrustCustomerHeader says whether the header X-Applepier-Customer names the
	// customer if the caller sends no API key. Set it only for entries
	// behind a proxy that sets the header.
	TrustCustomerHeader bool `yaml:"trust_customer_header"`
}

// Log configures logging.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error. An
	// empty level means info.
	Level string `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// BackendKind is the kind of the backend server beside an agent.
type BackendKind string

// Kinds of backend servers.
const (
	// BackendEngine is an inference engine that serves a model.
	BackendEngine BackendKind = "engine"
	// BackendService is a plain service, which has no model.
	BackendService BackendKind = "service"
)

// Backend describes the backend server beside an agent.
type Backend struct {
	// Kind is engine or service.
	Kind BackendKind `yaml:"kind" validate:"required,oneof=engine service"`
	// ServedName is the name of the model or of the plain service.
	ServedName string `yaml:"serves" validate:"required"`
	// URL is the base URL of the server, on the same VM.
	URL string `yaml:"url" validate:"required,http_url"`
	// ChecksFencingToken says whether the server refuses orders with an outdated
	// fencing token.
	ChecksFencingToken bool `yaml:"checks_fence"`
}
