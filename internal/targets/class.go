package targets

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// Class is an operator-defined class of requests: its latency targets, its
// priority tier, and the model or plain service that executes it. It holds no
// weights, traffic shares or addresses.
type Class struct {
	// Name identifies the class, for example "hazard-flag".
	Name string `json:"name"`
	// Tier is the priority, from 0 (most urgent) to MaxTier (least urgent).
	Tier int `json:"tier"`
	// Model names the model that executes the class; empty for a plain service.
	Model string `json:"model,omitempty"`
	// Service names the plain service that executes the class; empty for a model.
	Service string `json:"service,omitempty"`
	// FirstToken is the target for the time to the first token (or the
	// first byte of a plain service's response); zero means no target.
	FirstToken time.Duration `json:"first_token,omitempty"`
	// BetweenTokens is the target for the mean time between tokens; zero means no
	// target.
	BetweenTokens time.Duration `json:"between_tokens,omitempty"`
	// Completion is the target for the complete response; zero means no target.
	Completion time.Duration `json:"completion,omitempty"`
	// Repeatable says whether a request may be executed again after a
	// failure that leaves its outcome unknown.
	Repeatable bool `json:"repeatable"`
	// Retired classes accept no new requests.
	Retired bool `json:"retired,omitempty"`
}

// MaxTier is the least urgent of the six tiers.
const MaxTier = 5

// defaultStartDeadline is the time within which a request should start executing if
// its class has neither a first-token nor a completion target.
const defaultStartDeadline = 30 * time.Second

// Deadline returns a milestone and the time after arrival within which a
// request of this class must reach it. The milestone is the first token if the
// class has a target for it, otherwise completion, otherwise the start of
// execution within defaultStartDeadline.
func (c Class) Deadline() (time.Duration, policy.Milestone) {
	if c.FirstToken > 0 {
		return c.FirstToken, policy.MilestoneFirstToken
	}
	if c.Completion > 0 {
		return c.Completion, policy.MilestoneCompletion
	}
	return defaultStartDeadline, policy.MilestoneStart
}
