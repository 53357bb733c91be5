package wire

// RunPath is the agent's HTTP path that takes a granted request's body.
const RunPath = "/v1/run"

// ConnectPath is the agent's HTTP path of the control connection.
const ConnectPath = "/v1/connect"

// RunRequest is the body that an entry sends with a grant.
type RunRequest struct {
	// Grant is the grant's id.
	Grant   string `cbor:"1,keyasint"`
	Request string `cbor:"2,keyasint"`
	Attempt int    `cbor:"3,keyasint"`
	// ResumeFrom is how many tokens the caller already has.
	ResumeFrom int `cbor:"4,keyasint,omitempty"`
	// Body is the caller's request body.
	Body []byte `cbor:"5,keyasint"`
	// Method, Path and Header are set for a plain service's call.
	Method string   `cbor:"6,keyasint,omitempty"`
	Path   string   `cbor:"7,keyasint,omitempty"`
	Header []Header `cbor:"8,keyasint,omitempty"`
}
