package routes

import (
	"cmp"
	"slices"
)

// rank is the priority of a request: its route's tier, then its customer's. The customer's tier must
// not put a request before one of a more urgent route: servers preempt the least urgent requests, so
// one customer's summaries would preempt another's alarms.
type rank struct{ route, customer int }

// compareRanks orders ranks from the most to the least urgent.
func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.customer, b.customer))
}

// distinctRanks returns all ranks that can occur under a desired state, the most urgent first.
func distinctRanks(allRoutes []*Route, customers []*Customer) []rank {
	var ranks []rank
	for _, r := range allRoutes {
		// The rank of requests without a customer, or whose customer has no tier.
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

// Urgency returns the position of a request's rank among all ranks of this desired state, from 0,
// the most urgent, to levels-1. If there are more ranks than levels, neighboring ranks share a
// level: customers of the same route tier first, and route tiers only if there are more tiers than
// levels. The customer is nil if the request has none.
func (s *Snapshot) Urgency(r *Route, c *Customer, levels int) int {
	requestRank := rank{r.Tier, r.Tier}
	if c != nil && c.Tier != nil {
		requestRank.customer = *c.Tier
	}
	index, _ := slices.BinarySearchFunc(s.ranks, requestRank, compareRanks)
	if len(s.ranks) > levels {
		index = urgencyLevel(s.ranks, index, levels)
	}
	return min(index, levels-1)
}

// urgencyLevel returns the level of the rank at index if there are more ranks than levels. Each
// route tier gets one level, and the remaining levels are spread over the ranks in proportion.
func urgencyLevel(ranks []rank, index, levels int) int {
	index = min(index, len(ranks)-1)
	tierCount, tiersBefore := 1, 0
	for i := 1; i < len(ranks); i++ {
		if ranks[i].route != ranks[i-1].route {
			tierCount++
			if i <= index {
				tiersBefore++
			}
		}
	}
	if tierCount > levels {
		return index * levels / len(ranks)
	}
	// The first rank of each tier starts a new level. The other ranks share the remaining levels in
	// proportion.
	return tiersBefore + (index-tiersBefore)*(levels-tierCount)/max(len(ranks)-tierCount, 1)
}
