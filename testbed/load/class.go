package load

import (
	"math"
	"time"
)

// Class is one class of work as its callers send it, with its targets.
type Class struct {
	// Name is sent as X-Applepier-Class.
	Name string `yaml:"name" json:"name"`
	// Tier is the class's priority; 0 is the most urgent.
	Tier int `yaml:"tier" json:"tier"`
	// Model is the model it runs on; the mix's when empty.
	Model string `yaml:"model" json:"model,omitempty"`
	// Service is the plain service it runs on instead of a model. Such a
	// class is sent by a phase's rates only and has no lengths.
	Service string `yaml:"service" json:"service,omitempty"`
	// FirstToken, BetweenTokens and Completion are the targets; zero is none.
	// The time between tokens is the mean over an answer.
	FirstToken    time.Duration `yaml:"first_token" json:"first_token,omitempty"`
	BetweenTokens time.Duration `yaml:"between_tokens" json:"between_tokens,omitempty"`
	Completion    time.Duration `yaml:"completion" json:"completion,omitempty"`
	// PromptTokens and AnswerTokens are medians.
	PromptTokens int `yaml:"prompt_tokens" json:"prompt_tokens"`
	AnswerTokens int `yaml:"answer_tokens" json:"answer_tokens"`
	// SharedTokens is how many tokens at the beginning of a prompt all
	// requests of one customer share.
	SharedTokens int `yaml:"shared_tokens" json:"shared_tokens,omitempty"`
	// Spread is the standard deviation of the lengths' logarithm.
	Spread float64 `yaml:"spread" json:"spread"`
	// WorkShare is the class's part of a phase's ordinary load; shares are
	// relative to each other.
	WorkShare float64 `yaml:"work_share" json:"work_share"`
}

// meanAnswer is the mean length of its answers, in tokens.
func (c Class) meanAnswer() float64 {
	return float64(c.AnswerTokens) * math.Exp(c.Spread*c.Spread/2)
}

// meanPrompt is the mean length of its prompts without what they share.
func (c Class) meanPrompt() float64 {
	return float64(c.PromptTokens) * math.Exp(c.Spread*c.Spread/2)
}

// cost is how long a request takes one stream of an engine at full speed.
func (c Class) cost(fleet Fleet) time.Duration {
	prefill := c.meanPrompt() * float64(fleet.PrefillPerToken)
	return time.Duration(prefill + c.meanAnswer()*float64(fleet.Interval))
}

// onTime reports whether a whole answer met the class's targets.
func (c Class) onTime(r Result) bool {
	return within(r.FirstToken, c.FirstToken) &&
		within(r.BetweenTokens, c.BetweenTokens) &&
		within(r.Completion, c.Completion)
}

// within reports whether a time meets a target; zero is no target.
func within(d, target time.Duration) bool {
	return target == 0 || d <= target
}

// path is where requests of a class go.
func (c Class) path() string {
	if c.Service != "" {
		return "/services/" + c.Service + servicePath
	}
	return "/v1/chat/completions"
}
