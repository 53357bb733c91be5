package policy

import "time"

// leastLeft is the part of a prompt that counts as left to read once its first
// token is overdue: it isn't read yet, since nothing came, but how much is
// left nobody can say.
const leastLeft = 0.25

// ReadingPlan is when a server is expected to read a prompt that was sent to
// it, so that others that are to be sent there don't wait, on paper, for what
// has been read by now.
//
// It answers long prompts that come close together. Counted whole until their
// first token, two prompts that are half read look like two whole ones, and
// what comes next is refused although it would have been in time.
type ReadingPlan struct {
	tokens int
	from   time.Time
	until  time.Time
}

// Plan expects that a prompt of so many tokens, sent now, is read after what is
// before it; ahead counts both, in tokens. Of the fixed time to a first token
// only the way there counts: while a model makes its first step it reads the
// next prompt already.
func (r *ReadingRate) Plan(now time.Time, tokens int, ahead float64) ReadingPlan {
	until := now.Add(firstStep + r.reads(ahead))
	return ReadingPlan{tokens: tokens, from: until.Add(-r.reads(float64(tokens))), until: until}
}

// Left is how many tokens are expected to be left to read.
func (p ReadingPlan) Left(now time.Time) int {
	switch reading := p.until.Sub(p.from); {
	case !now.After(p.from) || reading <= 0:
		return p.tokens
	default:
		left := max(float64(p.until.Sub(now))/float64(reading), leastLeft)
		return int(left * float64(p.tokens))
	}
}
