package admin

import "github.com/applepier/applepier/internal/targets"

// targetsSource identifies where the targets in a response come from.
type targetsSource string

const (
	// sourceTable means the table service; the targets are the newest.
	sourceTable targetsSource = "table"
	// sourceMemory means the memory of this process: the table service could
	// not be read, and these are the targets applied here.
	sourceMemory targetsSource = "memory"
	// sourceMemoryUndecoded means the memory of this process, too: the table service
	// holds targets that this version of the program can't decode.
	sourceMemoryUndecoded targetsSource = "memory_undecoded"
)

// classView is the JSON representation of a class.
type classView struct {
	Name          string       `json:"name"`
	Tier          int          `json:"tier"`
	Model         string       `json:"model,omitempty"`
	Service       string       `json:"service,omitempty"`
	FirstToken    jsonDuration `json:"first_token,omitzero"`
	BetweenTokens jsonDuration `json:"between_tokens,omitzero"`
	Completion    jsonDuration `json:"completion,omitzero"`
	Repeatable    bool         `json:"repeatable"`
	Retired       bool         `json:"retired"`
}

func newClassView(c targets.Class) *classView {
	return &classView{
		Name:          c.Name,
		Tier:          c.Tier,
		Model:         c.Model,
		Service:       c.Service,
		FirstToken:    jsonDuration(c.FirstToken),
		BetweenTokens: jsonDuration(c.BetweenTokens),
		Completion:    jsonDuration(c.Completion),
		Repeatable:    c.Repeatable,
		Retired:       c.Retired,
	}
}

// customerView is the JSON representation of a customer. It omits the hash of
// the API key.
type customerView struct {
	Name string `json:"name"`
}

// classesResponse is the body of a response that lists all classes.
type classesResponse struct {
	Version uint64        `json:"version"`
	Source  targetsSource `json:"source"`
	Classes []*classView  `json:"classes"`
}

// customersResponse is the body of a response that lists all customers.
type customersResponse struct {
	Version   uint64         `json:"version"`
	Source    targetsSource  `json:"source"`
	Customers []customerView `json:"customers"`
}

// resourceResponse is the body of a response with one class or customer.
type resourceResponse struct {
	Version  uint64        `json:"version"`
	Source   targetsSource `json:"source"`
	Class    *classView    `json:"class,omitempty"`
	Customer *customerView `json:"customer,omitempty"`
}

// changeResponse is the body of the response to an accepted change.
type changeResponse struct {
	Accepted bool          `json:"accepted"`
	Version  uint64        `json:"version"`
	Class    *classView    `json:"class,omitempty"`
	Customer *customerView `json:"customer,omitempty"`
	// APIKey is the generated key of a customer. No other response contains it.
	APIKey string `json:"api_key,omitempty"`
	// Propagation is set if the request had a wait time.
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

// processView is the JSON representation of a process.
type processView struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	Version uint64 `json:"version"`
	// HasRecentStatus is true if the last status is at most maxStatusAge old.
	// StatusAge is nil if the process has never reported its status.
	HasRecentStatus bool          `json:"heard"`
	StatusAge       *jsonDuration `json:"age,omitempty"`
	Draining        bool          `json:"leaving"`
}

// backendServerView is the JSON representation of a backend server.
type backendServerView struct {
	VM        string        `json:"vm"`
	Zone      string        `json:"zone"`
	Serves    string        `json:"serves"`
	Running   int           `json:"running"`
	Waiting   int           `json:"waiting"`
	Limit     int           `json:"limit"`
	Draining  bool          `json:"leaving"`
	Down      bool          `json:"down"`
	StatusAge *jsonDuration `json:"age,omitempty"`
}

// statusResponse is the body of a response with the status of all processes.
type statusResponse struct {
	// Version is the newest targets version according to Source.
	Version uint64        `json:"version"`
	Source  targetsSource `json:"source"`
	// LocalVersion is the version applied in the responding process.
	LocalVersion uint64        `json:"in_force_here"`
	Propagation  propagation   `json:"spread"`
	Processes    []processView `json:"processes"`
}

// backendServersResponse is the body of a response that lists all backend
// servers.
type backendServersResponse struct {
	Version        uint64              `json:"version"`
	BackendServers []backendServerView `json:"engines"`
}
