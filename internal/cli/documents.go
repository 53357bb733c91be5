package cli

import "github.com/applepier/applepier/internal/targets"

// typeUnknown is the type of the error that leaves open whether a change was
// made.
const typeUnknown = "unknown"

// errorDocument is the body of an answer with an error status.
type errorDocument struct {
	Error struct {
		Type     string            `json:"type"`
		Message  string            `json:"message"`
		Problems []targets.Problem `json:"problems"`
	} `json:"error"`
	// Current is the newer state, with a conflict.
	Current *classesDocument `json:"current"`
}

// classDocument is a class with its durations as text, for example "850ms".
type classDocument struct {
	Name          string `json:"name"`
	Tier          int    `json:"tier"`
	Model         string `json:"model,omitempty"`
	Service       string `json:"service,omitempty"`
	FirstToken    string `json:"first_token,omitempty"`
	BetweenTokens string `json:"between_tokens,omitempty"`
	Completion    string `json:"completion,omitempty"`
	Repeatable    bool   `json:"repeatable"`
	Retired       bool   `json:"retired,omitempty"`
}

// classesDocument lists classes at one version.
type classesDocument struct {
	Version uint64          `json:"version"`
	Classes []classDocument `json:"classes"`
}

// classAnswer is one class at one version.
type classAnswer struct {
	Version uint64        `json:"version"`
	Class   classDocument `json:"class"`
}

// changeAnswer says what came of a change.
type changeAnswer struct {
	Version uint64        `json:"version"`
	Class   classDocument `json:"class"`
	// Wait is set when the command waited for the change to be in force.
	Wait *waitReport `json:"wait,omitempty"`
}

// waitReport says how far a change has come.
type waitReport struct {
	// InForce counts the processes that have confirmed the change.
	InForce int `json:"in_force"`
	// Behind lists those that are known to run an older version.
	Behind []string `json:"behind"`
	// NotHeard lists those that have not answered.
	NotHeard []string `json:"not_heard_from"`
}

// statusReport is what status prints as JSON.
type statusReport struct {
	Status  statusDocument  `json:"status"`
	Engines enginesDocument `json:"engines"`
}

// statusDocument tells which version is in force where.
type statusDocument struct {
	Version   uint64            `json:"version"`
	Processes []processDocument `json:"processes"`
}

type processDocument struct {
	Process string `json:"process"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	Age     string `json:"age"`
}

// enginesDocument lists the backend servers as an entry sees them.
type enginesDocument struct {
	Engines []engineDocument `json:"engines"`
}

type engineDocument struct {
	Process string `json:"process"`
	Serves  string `json:"serves"`
	Zone    string `json:"zone"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	Limit   int    `json:"limit"`
	State   string `json:"state"`
	Age     string `json:"age"`
}
