package policy

import "time"

// minRemainingShare is the least fraction of a prompt that counts as remaining until its
// first token arrives: if that is overdue, the prefill isn't complete, but how much of it
// remains is unknown.
const minRemainingShare = 0.25

// PrefillPlan is the period in which a server is expected to prefill a prompt. It gives the
// number of tokens that are still to be prefilled, so that tokens that the server has
// already prefilled don't count as a wait for other requests.
//
// This matters for long prompts that arrive close together. If prompts counted in full
// until their first token, two half-completed prompts would look like two complete ones, and
// the next request would be refused although it would have been in time.
type PrefillPlan struct {
	tokens int
	start  time.Time
	end    time.Time
}

// PlanChoice returns the prefill plan of a prompt that is sent now to the chosen server. The
// plan holds the prompt's tokens as they are, since each gateway multiplies what waits at a
// server by the slowdown itself; only the time of their prefill is that at the server's speed.
func (r *PrefillRate) PlanChoice(now time.Time, choice Choice) PrefillPlan {
	plan := r.Plan(now, choice.PrefillTokens, choice.TokensAhead)
	plan.start = plan.end.Add(-r.prefillTime(choice.Slowdown * float64(choice.PrefillTokens)))
	return plan
}

// Plan returns the prefill plan of a prompt of the given number of tokens that is sent now to
// an average server.
// tokensAhead includes the prompt and everything prefilled before it. The plan adds
// initialFixedTime for the network delay and not the estimated fixed time, which includes
// the first decoding step: during that step a model already prefills the next prompt.
func (r *PrefillRate) Plan(now time.Time, tokens int, tokensAhead float64) PrefillPlan {
	end := now.Add(initialFixedTime + r.prefillTime(tokensAhead))
	return PrefillPlan{tokens: tokens, start: end.Add(-r.prefillTime(float64(tokens))), end: end}
}

// Remaining returns the expected number of tokens that are still to be prefilled.
func (p PrefillPlan) Remaining(now time.Time) int {
	switch duration := p.end.Sub(p.start); {
	case !now.After(p.start) || duration <= 0:
		return p.tokens
	default:
		share := max(float64(p.end.Sub(now))/float64(duration), minRemainingShare)
		return int(share * float64(p.tokens))
	}
}
