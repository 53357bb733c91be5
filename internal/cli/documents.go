package cli

import "github.com/applepier/applepier/internal/targets"

// codeOutcomeUnknown is the error of a change that may have been made.
const codeOutcomeUnknown = "outcome_unknown"

// sourceMemory says that the table service is down and the entry has told what
// is in force in itself.
const sourceMemory = "memory"

// errorDocument is the body of an answer with an error status.
type errorDocument struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	Problems []targets.Problem `json:"problems"`
	// Version and Class are the newer state, with a conflict.
	Version uint64         `json:"version"`
	Class   *classDocument `json:"class"`
}

// classDocument is a class with its durations as text, for example "850ms".
type classDocument struct {
	Name string `json:"name"`
	// Tier is absent in a new class for which none was given.
	Tier          *int   `json:"tier,omitempty"`
	Model         string `json:"model,omitempty"`
	Service       string `json:"service,omitempty"`
	FirstToken    string `json:"first_token,omitempty"`
	BetweenTokens string `json:"between_tokens,omitempty"`
	Completion    string `json:"completion,omitempty"`
	Repeatable    bool   `json:"repeatable"`
	Retired       bool   `json:"retired"`
}

// classesDocument lists classes at one version.
type classesDocument struct {
	Version uint64          `json:"version"`
	Source  string          `json:"source"`
	Classes []classDocument `json:"classes"`
}

// classAnswer is one class at one version.
type classAnswer struct {
	Version uint64        `json:"version"`
	Source  string        `json:"source"`
	Class   classDocument `json:"class"`
}

// changeAnswer says what came of a change.
type changeAnswer struct {
	Accepted bool          `json:"accepted"`
	Version  uint64        `json:"version"`
	Class    classDocument `json:"class"`
	// Spread is set when the command waited for the change to be in force.
	Spread *spreadDocument `json:"spread,omitempty"`
}

// spreadDocument says how far a version has come.
type spreadDocument struct {
	// InForce says that all processes heard from have it in force.
	InForce bool `json:"in_force"`
	// Behind names those that have an older version.
	Behind []string `json:"behind"`
	// NotHeardFrom names those of which nothing recent is known.
	NotHeardFrom []string `json:"not_heard_from"`
}

// statusReport is what status prints as JSON.
type statusReport struct {
	Status  statusDocument  `json:"status"`
	Engines enginesDocument `json:"engines"`
}

// statusDocument tells which version is in force where.
type statusDocument struct {
	Version     uint64            `json:"version"`
	Source      string            `json:"source"`
	InForceHere uint64            `json:"in_force_here"`
	Spread      spreadDocument    `json:"spread"`
	Processes   []processDocument `json:"processes"`
}

// processDocument is a process as the asked entry knows it.
type processDocument struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	Version uint64 `json:"version"`
	Heard   bool   `json:"heard"`
	Age     string `json:"age,omitempty"`
	Leaving bool   `json:"leaving"`
}

// enginesDocument lists the backend servers as the asked entry knows them.
type enginesDocument struct {
	Version uint64           `json:"version"`
	Engines []engineDocument `json:"engines"`
}

type engineDocument struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Serves  string `json:"serves"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Limit   int    `json:"limit"`
	Leaving bool   `json:"leaving"`
	Down    bool   `json:"down"`
	Age     string `json:"age,omitempty"`
}
