package wire

// RunPath is the agent's HTTP path for the RunRequest of a granted request.
const RunPath = "/v1/run"

// ConnectPath is the agent's HTTP path for control connections.
const ConnectPath = "/v1/connect"

// RunRequest is the HTTP body with which an entry uses a grant.
type RunRequest struct {
	// GrantID is the ID of the grant.
	GrantID   string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
	Attempt   int    `cbor:"3,keyasint"`
	// ResumeFrom is the number of tokens that the caller has already received.
	ResumeFrom int `cbor:"4,keyasint,omitempty"`
	// Body is the caller's request body.
	Body []byte `cbor:"5,keyasint"`
	// Method, Path and Header are those of a call to a plain service.
	Method string   `cbor:"6,keyasint,omitempty"`
	Path   string   `cbor:"7,keyasint,omitempty"`
	Header []Header `cbor:"8,keyasint,omitempty"`
	// SoftwareVersion is the version of the engine that began the stream, with
	// ResumeFrom; empty for an engine that reports none.
	SoftwareVersion string `cbor:"9,keyasint,omitempty"`
}
