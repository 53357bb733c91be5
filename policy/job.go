package policy

import (
	"slices"
	"time"
)

const (
	// againWeight is by how much more a shared part counts that is read again when
	// what waits takes the whole target. Under load each part that is read away
	// from where it is held delays what is at home there, which then goes
	// elsewhere in turn.
	againWeight = 15.0
	// shortestWait is the part of the target that any request may wait for
	// others, so that classes of very long prompts are admitted where next to nothing is
	// before them, a model's first step not counted. More of it delays all others.
	shortestWait = 0.04
)

// Job is what is to be sent to a server.
type Job struct {
	// Zone is the sender's availability zone.
	Zone string
	// Urgency is from 0, the most urgent, to below UrgencyLevels.
	Urgency int
	// Target is within what time the first token is wanted; 0 for none.
	Target time.Duration
	// Tokens is the length of the prompt; 0 for a plain service.
	Tokens int
	// MeanTokens is the mean length of its class's prompts, by which it is admitted; 0 where
	// that isn't known.
	MeanTokens float64
	// Shared are the parts that the prompt begins with and others share, in
	// order; its own rest isn't among them.
	Shared []Part
	// FetchRate is at how many tokens a millisecond a server fetches what
	// another one has read; 0 where it can't.
	FetchRate float64
	// Unseen is how many requests other senders are expected to have sent to the
	// servers since their last update.
	Unseen float64
	// UnseenTokens is what is read for those of them that are at least as urgent
	// and were sent within the mean age of news, NewsAge.
	UnseenTokens float64
	NewsAge      time.Duration
	// UnseenOffers is how many requests others are expected to have had for the service,
	// sent or not, since their last update, and OtherSenders how many of them there are.
	UnseenOffers float64
	OtherSenders float64
	// Headroom is the part of each server's slots that is reserved for what is more
	// urgent, beside what always is.
	Headroom float64
	// Tried names the servers that aren't to be used again.
	Tried []string
}

// prefix is the last shared part, which all requests with the same shared parts
// have in common; its ID is 0 where there is none.
func (j *Job) prefix() Part {
	if len(j.Shared) == 0 {
		return Part{}
	}
	return j.Shared[len(j.Shared)-1]
}

// atMeanLength is what a number of the prompt's tokens comes to in a prompt of its class's mean
// length.
func (j *Job) atMeanLength(tokens float64) float64 {
	if j.MeanTokens == 0 || j.Tokens == 0 {
		return tokens
	}
	return tokens * j.MeanTokens / float64(j.Tokens)
}

func (j *Job) tried(name string) bool {
	return slices.Contains(j.Tried, name)
}

// priceOfRereading is what a token of a shared part counts for that is read again,
// from one, while most servers have time to spare, upwards with the share of
// the target that what waits takes at the server in the middle: one hot home
// among idle servers makes none dear.
func (j *Job) priceOfRereading(servers []Server, usable func(*Server) bool, rate *PrefillRate) float64 {
	if j.Target == 0 || len(j.Shared) == 0 {
		return 1
	}
	waits := make([]float64, 0, len(servers))
	for i := range servers {
		if usable(&servers[i]) {
			waits = append(waits, servers[i].ahead(UrgencyLevels-1))
		}
	}
	if len(waits) == 0 {
		return 1
	}
	slices.Sort(waits)
	middle := waits[len(waits)/2] / rate.rate() * float64(time.Millisecond)
	return 1 + againWeight*min(middle/float64(j.Target), 1)
}

// inTime reports whether a request is admitted where others' prompts wait before
// it and a shared part has to be read again. It is judged as a prompt of its class's
// mean length of which the same part is cached, so that prompts of every length find
// a server equally often; see ClassSizes. It may be sent anyway where next to
// nothing waits, so that a class is served whose prompts take the whole target.
func (j *Job) inTime(rate *PrefillRate, others float64, need need, rereadPrice float64) bool {
	if j.Target == 0 {
		return true
	}
	own := float64(j.Tokens - j.prefix().Upto)
	own += need.transfer
	again := need.again
	if need.home || need.second {
		own += need.first
	} else {
		// Others may read it at one of its homes meanwhile.
		again += need.first
	}
	own, again = j.atMeanLength(own), j.atMeanLength(again)
	return rate.likely(others+rereadPrice*again, own) <= j.Target ||
		rate.takes(others+again) <= part(shortestWait, j.Target)
}

// part is a share of a time.
func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }
