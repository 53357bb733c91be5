package router

import (
	"github.com/applepier/applepier/policy"
)

// mostUntold bounds the samples of one kind that wait to be told: what nobody
// takes isn't kept.
const mostUntold = 256

// untold gathers the first tokens and pauses that came, and the requests that got no
// answer, since others were told last. A datagram that is lost loses its own, which is as if fewer had been
// sent.
type untold struct {
	firsts     []policy.FirstToken
	pauses     []policy.Pause
	unanswered []policy.Key
}

func (u *untold) first(one policy.FirstToken) {
	if len(u.firsts) < mostUntold {
		u.firsts = append(u.firsts, one)
	}
}

func (u *untold) pause(one policy.Pause) {
	if len(u.pauses) < mostUntold {
		u.pauses = append(u.pauses, one)
	}
}

func (u *untold) noAnswer(server policy.Key) {
	if len(u.unanswered) < mostUntold {
		u.unanswered = append(u.unanswered, server)
	}
}

func (u *untold) take() untold {
	all := *u
	*u = untold{}
	return all
}
