package targets

import (
	"time"

	"github.com/applepier/applepier/policy"
)

// Class is one class of work as the operators state it: a latency target and
// a tier, and what the work runs on. There is no weight, share or address.
type Class struct {
	// Name identifies the class, for example "hazard-flag".
	Name string `json:"name"`
	// Tier is the priority; 0 is the most urgent, MaxTier the least.
	Tier int `json:"tier"`
	// Model is the model the class runs on; empty for a plain service.
	Model string `json:"model,omitempty"`
	// Service is the plain service the class runs on; empty for a model.
	Service string `json:"service,omitempty"`
	// FirstToken is the target for the time to the first token (or the
	// first byte of a plain service's answer); zero when none is set.
	FirstToken time.Duration `json:"first_token,omitempty"`
	// BetweenTokens is the target for the time between tokens; zero when
	// none is set.
	BetweenTokens time.Duration `json:"between_tokens,omitempty"`
	// Completion is the target for the whole answer; zero when none is set.
	Completion time.Duration `json:"completion,omitempty"`
	// Repeatable says whether a request may run again after a failure that
	// leaves its outcome unknown.
	Repeatable bool `json:"repeatable"`
	// Retired classes take no new requests.
	Retired bool `json:"retired,omitempty"`
}

// MaxTier is the least urgent tier; there are six.
const MaxTier = 5

// defaultStart is within what time work without a target for its first token
// should start, when it has no target for completion either.
const defaultStart = 30 * time.Second

// Deadline is how long after its arrival a request of this class must have
// reached which milestone: its first token if there is a target for that, or
// else its completion.
func (c Class) Deadline() (time.Duration, policy.Milestone) {
	if c.FirstToken > 0 {
		return c.FirstToken, policy.MilestoneFirstToken
	}
	if c.Completion > 0 {
		return c.Completion, policy.MilestoneCompletion
	}
	return defaultStart, policy.MilestoneStart
}
