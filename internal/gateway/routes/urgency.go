package routes

import (
	"cmp"
	"slices"
)

// rank is how urgent a request is: its route's tier goes first, and among requests of
// equal routes the customer's decides. A customer's tier puts none of its requests before
// those of a more urgent class: servers preempt the least urgent, and summaries of one
// customer would preempt another's alarms.
type rank struct{ route, customer int }

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.customer, b.customer))
}

// ranksOf are all that can occur under a desired state, the most urgent first.
func ranksOf(all []*Route, customers []*Customer) []rank {
	var ranks []rank
	for _, r := range all {
		// Requests without a customer, or whose customer has no tier.
		ranks = append(ranks, rank{r.Tier, r.Tier})
		for _, c := range customers {
			if c.Tier != nil {
				ranks = append(ranks, rank{r.Tier, *c.Tier})
			}
		}
	}
	slices.SortFunc(ranks, compareRanks)
	return slices.Compact(ranks)
}

// Urgency is a request's place among all ranks of this desired state, from 0,
// the most urgent, to below levels. Where there are more ranks than levels,
// neighbours share one: customers of a route first, and routes only where these alone are
// more than levels. Customer is nil for a request without.
func (s *Set) Urgency(r *Route, c *Customer, levels int) int {
	wanted := rank{r.Tier, r.Tier}
	if c != nil && c.Tier != nil {
		wanted.customer = *c.Tier
	}
	at, _ := slices.BinarySearchFunc(s.ranks, wanted, compareRanks)
	if len(s.ranks) > levels {
		at = levelOf(s.ranks, at, levels)
	}
	return min(at, levels-1)
}

// levelOf is the level of the rank at a place where there are more ranks than levels. Each
// route's tier has one level, and of the rest as many as it has ranks, in proportion.
func levelOf(ranks []rank, at, levels int) int {
	at = min(at, len(ranks)-1)
	tiers, before := 1, 0
	for i := 1; i < len(ranks); i++ {
		if ranks[i].route != ranks[i-1].route {
			tiers++
			if i <= at {
				before++
			}
		}
	}
	if tiers > levels {
		return at * levels / len(ranks)
	}
	// Of the ranks but one of each tier, those before the place take their part of the
	// levels but one of each tier.
	return before + (at-before)*(levels-tiers)/max(len(ranks)-tiers, 1)
}
