package targets

import (
	"fmt"
	"time"
)

// MaxLatencyTarget is the longest latency target that is accepted. A longer one is
// most likely given in the wrong unit.
const MaxLatencyTarget = 24 * time.Hour

// Problems returns the invalid fields of the class, without comparing it with
// other classes. Fields have their JSON names.
func (c Class) Problems() []Problem {
	var problems []Problem
	if !namePattern.MatchString(c.Name) {
		problems = append(problems, Problem{Field: "name", Reason: invalidNameReason})
	}
	if c.Tier < 0 || c.Tier > MaxTier {
		problems = append(problems, Problem{Field: "tier", Reason: fmt.Sprintf("must be 0 (most urgent) to %d (least urgent)", MaxTier)})
	}
	problems = append(problems, c.backendProblems()...)
	return append(problems, c.latencyTargetProblems()...)
}

func (c Class) backendProblems() []Problem {
	switch {
	case c.Model == "" && c.Service == "":
		return []Problem{{Field: "model", Reason: "one of model and service must be set"}}
	case c.Model != "" && c.Service != "":
		return []Problem{{Field: "service", Reason: "only one of model and service may be set"}}
	case c.Model != "" && !namePattern.MatchString(c.Model):
		return []Problem{{Field: "model", Reason: invalidNameReason}}
	case c.Service != "" && !namePattern.MatchString(c.Service):
		return []Problem{{Field: "service", Reason: invalidNameReason}}
	}
	return nil
}

func (c Class) latencyTargetProblems() []Problem {
	var problems []Problem
	problems = append(problems, durationProblems("first_token", c.FirstToken)...)
	problems = append(problems, durationProblems("between_tokens", c.BetweenTokens)...)
	problems = append(problems, durationProblems("completion", c.Completion)...)
	if c.FirstToken == 0 && c.BetweenTokens == 0 && c.Completion == 0 {
		problems = append(problems, Problem{Field: "first_token", Reason: "at least one of first_token, between_tokens and completion must be set"})
	}
	if c.Service != "" && c.BetweenTokens != 0 {
		problems = append(problems, Problem{Field: "between_tokens", Reason: "must not be set for a plain service, which has no tokens"})
	}
	if c.Completion > 0 && c.FirstToken > c.Completion {
		problems = append(problems, Problem{Field: "first_token", Reason: "must not be longer than completion"})
	}
	return problems
}

func durationProblems(field string, d time.Duration) []Problem {
	switch {
	case d < 0:
		return []Problem{{Field: field, Reason: "must not be negative"}}
	case d > MaxLatencyTarget:
		return []Problem{{Field: field, Reason: fmt.Sprintf("must be at most %v", MaxLatencyTarget)}}
	}
	return nil
}
