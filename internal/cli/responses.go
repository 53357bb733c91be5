package cli

import "github.com/applepier/applepier/internal/targets"

// codeOutcomeUnknown is the API's error code for a change that may or may not
// have been applied.
const codeOutcomeUnknown = "outcome_unknown"

// Sources of targets that the entry returned from its own memory: because the table
// service was down, or because it holds targets that the entry can't decode.
const (
	sourceMemory          = "memory"
	sourceMemoryUndecoded = "memory_undecoded"
)

// errorResponse is the body of a response with an error status.
type errorResponse struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	Problems []targets.Problem `json:"problems"`
	// Version and Class are the current state after a version conflict.
	Version uint64     `json:"version"`
	Class   *classInfo `json:"class"`
}

// classInfo is a class. Its durations are strings with a unit, for example
// "850ms".
type classInfo struct {
	Name string `json:"name"`
	// Tier is nil in a new class for which no tier was given.
	Tier          *int   `json:"tier,omitempty"`
	Model         string `json:"model,omitempty"`
	Service       string `json:"service,omitempty"`
	FirstToken    string `json:"first_token,omitempty"`
	BetweenTokens string `json:"between_tokens,omitempty"`
	Completion    string `json:"completion,omitempty"`
	Repeatable    bool   `json:"repeatable"`
	Retired       bool   `json:"retired"`
}

// classListResponse is the list of all classes at a targets version.
type classListResponse struct {
	Version uint64      `json:"version"`
	Source  string      `json:"source"`
	Classes []classInfo `json:"classes"`
}

// classResponse is one class at a targets version.
type classResponse struct {
	Version uint64    `json:"version"`
	Source  string    `json:"source"`
	Class   classInfo `json:"class"`
}

// changeResponse is the result of an accepted change.
type changeResponse struct {
	Accepted bool      `json:"accepted"`
	Version  uint64    `json:"version"`
	Class    classInfo `json:"class"`
	// Propagation is set if the command waited for all processes to apply the
	// change.
	Propagation *propagation `json:"spread,omitempty"`
}

// propagation describes which processes have applied a targets version.
type propagation struct {
	// Applied is true if all processes with a recent status have applied the
	// version.
	Applied bool `json:"in_force"`
	// Behind lists the processes with a recent status and an older version.
	Behind []string `json:"behind"`
	// NotHeardFrom lists the processes without a recent status, except those
	// that have reported this version before.
	NotHeardFrom []string `json:"not_heard_from"`
}

// statusReport is the JSON output of the status command.
type statusReport struct {
	Status         statusResponse         `json:"status"`
	BackendServers backendServersResponse `json:"engines"`
}

// statusResponse lists the targets version that each process has applied.
type statusResponse struct {
	Version      uint64        `json:"version"`
	Source       string        `json:"source"`
	LocalVersion uint64        `json:"in_force_here"`
	Propagation  propagation   `json:"spread"`
	Processes    []processInfo `json:"processes"`
}

// processInfo is the status of a process as known to the queried entry.
type processInfo struct {
	Name            string `json:"name"`
	Zone            string `json:"zone"`
	Role            string `json:"role"`
	Version         uint64 `json:"version"`
	HasRecentStatus bool   `json:"heard"`
	StatusAge       string `json:"age,omitempty"`
	Draining        bool   `json:"leaving"`
}

// backendServersResponse lists the backend servers as known to the queried
// entry.
type backendServersResponse struct {
	Version        uint64              `json:"version"`
	BackendServers []backendServerInfo `json:"engines"`
}

// backendServerInfo is the status of a backend server.
type backendServerInfo struct {
	VM        string `json:"vm"`
	Zone      string `json:"zone"`
	Serves    string `json:"serves"`
	Running   int    `json:"running"`
	Waiting   int    `json:"waiting"`
	Limit     int    `json:"limit"`
	Draining  bool   `json:"leaving"`
	Down      bool   `json:"down"`
	StatusAge string `json:"age,omitempty"`
}
