package load

import (
	"math"
	"time"
)

// Class is a class of requests with its latency targets.
type Class struct {
	// Name is sent as X-Applepier-Class.
	Name string `yaml:"name" json:"name"`
	// Tier is the priority of the class; 0 is the most urgent.
	Tier int `yaml:"tier" json:"tier"`
	// Model is the model that runs the requests; Mix.Model if empty.
	Model string `yaml:"model" json:"model,omitempty"`
	// Service is the plain service that runs the requests instead of a
	// model. Such requests are sent only at the rates in Phase.Rates and
	// have no lengths in tokens.
	Service string `yaml:"service" json:"service,omitempty"`
	// FirstToken, BetweenTokens and Completion are the latency targets; zero
	// means no target. The time between tokens is the mean over a response.
	FirstToken    time.Duration `yaml:"first_token" json:"first_token,omitempty"`
	BetweenTokens time.Duration `yaml:"between_tokens" json:"between_tokens,omitempty"`
	Completion    time.Duration `yaml:"completion" json:"completion,omitempty"`
	// PromptTokens and ResponseTokens are the median lengths in tokens.
	// PromptTokens excludes the shared prefix.
	PromptTokens   int `yaml:"prompt_tokens" json:"prompt_tokens"`
	ResponseTokens int `yaml:"answer_tokens" json:"answer_tokens"`
	// SharedTokens is the length in tokens of the prompt prefix that all
	// requests of one customer in the class share.
	SharedTokens int `yaml:"shared_tokens" json:"shared_tokens,omitempty"`
	// LengthLogStdDev is the standard deviation of the logarithm of the
	// prompt and response lengths.
	LengthLogStdDev float64 `yaml:"spread" json:"spread"`
	// LoadShare is the relative weight of the class in Phase.Load.
	LoadShare float64 `yaml:"work_share" json:"work_share"`
}

// meanResponseTokens returns the mean response length in tokens.
func (c Class) meanResponseTokens() float64 {
	return float64(c.ResponseTokens) * math.Exp(c.LengthLogStdDev*c.LengthLogStdDev/2)
}

// meanPromptTokens returns the mean prompt length in tokens, without the shared
// prefix.
func (c Class) meanPromptTokens() float64 {
	return float64(c.PromptTokens) * math.Exp(c.LengthLogStdDev*c.LengthLogStdDev/2)
}

// streamTime returns the mean time for which a request occupies one stream of an
// engine at full speed.
func (c Class) streamTime(fleet Fleet) time.Duration {
	prefill := c.meanPromptTokens() * float64(fleet.PrefillPerToken)
	return time.Duration(prefill + c.meanResponseTokens()*float64(fleet.TokenInterval))
}

// meetsTargets reports whether a complete response met all targets.
func (c Class) meetsTargets(r Result) bool {
	return meetsTarget(r.FirstToken, c.FirstToken) &&
		meetsTarget(r.BetweenTokens, c.BetweenTokens) &&
		meetsTarget(r.Completion, c.Completion)
}

// meetsTarget reports whether d is within target; a zero target is always met.
func meetsTarget(d, target time.Duration) bool {
	return target == 0 || d <= target
}

// path returns the URL path of the class's requests.
func (c Class) path() string {
	if c.Service != "" {
		return "/services/" + c.Service + servicePath
	}
	return "/v1/chat/completions"
}
