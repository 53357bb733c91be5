package policy

import "time"

// minRemainingShare is the part of a prompt that counts as left once its first
// token is overdue: it isn't prefilled yet, since nothing came, but how much is
// left nobody can say.
const minRemainingShare = 0.25

// PrefillPlan is when a server is expected to prefill a prompt that was sent to
// it, so that others that are to be sent there don't wait, on paper, for what
// has been prefilled by now.
//
// It answers long prompts that come close together. Counted whole until their
// first token, two prompts that are half done look like two whole ones, and
// what comes next is refused although it would have been in time.
type PrefillPlan struct {
	tokens int
	start   time.Time
	end  time.Time
}

// Plan expects that a prompt of so many tokens, sent now, is prefilled after what is
// before it; ahead counts both, in tokens. Of the fixed time to a first token
// only the way there counts: while a model makes its first step it prefills
// the next prompt already.
func (r *PrefillRate) Plan(now time.Time, tokens int, ahead float64) PrefillPlan {
	until := now.Add(initialFixedTime + r.takes(ahead))
	return PrefillPlan{tokens: tokens, start: until.Add(-r.takes(float64(tokens))), end: until}
}

// Left is how many tokens are expected to be left.
func (p PrefillPlan) Left(now time.Time) int {
	switch prefill := p.end.Sub(p.start); {
	case !now.After(p.start) || prefill <= 0:
		return p.tokens
	default:
		left := max(float64(p.end.Sub(now))/float64(prefill), minRemainingShare)
		return int(left * float64(p.tokens))
	}
}
