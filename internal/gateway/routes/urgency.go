package routes

import (
	"cmp"
	"slices"
)

// rank is how urgent a request is: the customer's tier goes first, and among
// requests of equal tiers the route's decides.
type rank struct{ customer, route int }

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.route, b.route))
}

// ranks are all that can occur under a desired state, the most urgent first.
func ranksOf(all []*Route, customers []*Customer) []rank {
	var ranks []rank
	for _, r := range all {
		// Requests without a customer, or whose customer has no tier.
		ranks = append(ranks, rank{r.Tier, r.Tier})
		for _, c := range customers {
			if c.Tier != nil {
				ranks = append(ranks, rank{*c.Tier, r.Tier})
			}
		}
	}
	slices.SortFunc(ranks, compareRanks)
	return slices.Compact(ranks)
}

// Urgency is a request's place among all ranks of this desired state, from 0,
// the most urgent, to below levels. Where there are more ranks than levels,
// neighbours share one. Customer is nil for a request without.
func (s *Set) Urgency(r *Route, c *Customer, levels int) int {
	wanted := rank{r.Tier, r.Tier}
	if c != nil && c.Tier != nil {
		wanted.customer = *c.Tier
	}
	at, _ := slices.BinarySearchFunc(s.ranks, wanted, compareRanks)
	if len(s.ranks) > levels {
		at = at * levels / len(s.ranks)
	}
	return min(at, levels-1)
}
