package router

import (
	"github.com/applepier/applepier/policy"
)

// mostFirsts bounds the first tokens that wait to be told: what nobody takes
// isn't kept.
const mostFirsts = 256

// firsts gathers the first tokens that came since others were told last. A
// datagram that is lost loses its own, which is as if fewer had been sent.
type firsts struct{ all []policy.FirstToken }

func (f *firsts) add(one policy.FirstToken) {
	if len(f.all) < mostFirsts {
		f.all = append(f.all, one)
	}
}

func (f *firsts) take() []policy.FirstToken {
	all := f.all
	f.all = nil
	return all
}
