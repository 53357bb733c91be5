package admin

import "github.com/applepier/applepier/internal/targets"

// source says where the targets of an answer were read.
type source string

const (
	// sourceTable: from the table service, so they are the newest.
	sourceTable source = "table"
	// sourceMemory: the table service is down; these are the ones in force in
	// this process.
	sourceMemory source = "memory"
)

// classView is a class in JSON.
type classView struct {
	Name          string   `json:"name"`
	Tier          int      `json:"tier"`
	Model         string   `json:"model,omitempty"`
	Service       string   `json:"service,omitempty"`
	FirstToken    duration `json:"first_token,omitzero"`
	BetweenTokens duration `json:"between_tokens,omitzero"`
	Completion    duration `json:"completion,omitzero"`
	Repeatable    bool     `json:"repeatable"`
	Retired       bool     `json:"retired"`
}

func viewClass(c targets.Class) *classView {
	return &classView{
		Name:          c.Name,
		Tier:          c.Tier,
		Model:         c.Model,
		Service:       c.Service,
		FirstToken:    duration(c.FirstToken),
		BetweenTokens: duration(c.BetweenTokens),
		Completion:    duration(c.Completion),
		Repeatable:    c.Repeatable,
		Retired:       c.Retired,
	}
}

// customerView is a customer in JSON, without the key's hash.
type customerView struct {
	Name string `json:"name"`
}

// classesAnswer lists the classes.
type classesAnswer struct {
	Version uint64       `json:"version"`
	Source  source       `json:"source"`
	Classes []*classView `json:"classes"`
}

// customersAnswer lists the customers.
type customersAnswer struct {
	Version   uint64         `json:"version"`
	Source    source         `json:"source"`
	Customers []customerView `json:"customers"`
}

// resourceAnswer tells of one class or customer.
type resourceAnswer struct {
	Version  uint64        `json:"version"`
	Source   source        `json:"source"`
	Class    *classView    `json:"class,omitempty"`
	Customer *customerView `json:"customer,omitempty"`
}

// changeAnswer says that a change was accepted.
type changeAnswer struct {
	Accepted bool          `json:"accepted"`
	Version  uint64        `json:"version"`
	Class    *classView    `json:"class,omitempty"`
	Customer *customerView `json:"customer,omitempty"`
	// APIKey is a new customer's key, which is told only here.
	APIKey string `json:"api_key,omitempty"`
	// Spread is told when the request asked to wait.
	Spread *spread `json:"spread,omitempty"`
}

// spread says where a version is in force.
type spread struct {
	// InForce says that it is in all processes heard from.
	InForce bool `json:"in_force"`
	// Behind names the processes heard from that have an older version.
	Behind []string `json:"behind"`
	// NotHeardFrom names the processes of which nothing recent is known.
	NotHeardFrom []string `json:"not_heard_from"`
}

// processView is a process in JSON.
type processView struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	Version uint64 `json:"version"`
	// Heard says that it was heard from recently; Age is how long ago it was,
	// absent when it never was.
	Heard   bool      `json:"heard"`
	Age     *duration `json:"age,omitempty"`
	Leaving bool      `json:"leaving"`
}

// engineView is a backend server in JSON.
type engineView struct {
	VM      string    `json:"vm"`
	Zone    string    `json:"zone"`
	Serves  string    `json:"serves"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	Limit   int       `json:"limit"`
	Leaving bool      `json:"leaving"`
	Down    bool      `json:"down"`
	Age     *duration `json:"age,omitempty"`
}

// statusAnswer tells of all processes.
type statusAnswer struct {
	// Version is the newest, by Source.
	Version uint64 `json:"version"`
	Source  source `json:"source"`
	// InForceHere is the version in force in the process that answers.
	InForceHere uint64        `json:"in_force_here"`
	Spread      spread        `json:"spread"`
	Processes   []processView `json:"processes"`
}

// enginesAnswer lists the backend servers.
type enginesAnswer struct {
	Version uint64       `json:"version"`
	Engines []engineView `json:"engines"`
}
