package dutymodel

import (
	"hash/maphash"
	"slices"
)

// Result is the result of an exploration.
type Result struct {
	// States is the number of visited states and Depth the number of steps to the last
	// of them. Complete reports that all states within the bounds were visited.
	States   int
	Depth    int
	Complete bool
	// Violation describes the violated invariant, or is empty if there is none. Steps is a
	// shortest sequence of steps that leads to the violation.
	Violation string
	Steps     []string
}

// visit records the step by which a state was first reached.
type visit struct {
	parent int // index of the previous visit, -1 for the initial state
	depth  int
	action string
}

// Explore visits the states that are reachable from the initial state, breadth first,
// until an invariant is violated, bounds.States is reached, or no state is left.
func Explore(guards Guards, bounds Bounds) Result {
	e := &explorer{guards: guards, bounds: bounds}
	frontier := []state{{store: store{hasSnapshot: bounds.SnapshotAtStart}}}
	frontierStart := 0 // frontier[i] is recorded in visits[frontierStart+i]
	visits := []visit{{parent: -1}}
	// Visited states are stored as 64-bit hashes only. The probability that any two of two
	// million states collide is about one in ten million, and of six million states one in a
	// million.
	seed := maphash.MakeSeed()
	visited := map[uint64]struct{}{maphash.Comparable(seed, frontier[0]): {}}
	for len(frontier) > 0 {
		var next []state
		for i := range frontier {
			for _, st := range e.successors(&frontier[i]) {
				hash := maphash.Comparable(seed, st.to)
				if _, ok := visited[hash]; ok || !st.to.withinSize() {
					continue
				}
				visits = append(visits, visit{parent: frontierStart + i, depth: visits[frontierStart+i].depth + 1, action: st.action})
				if st.to.violation != "" {
					return Result{States: len(visits), Depth: visits[len(visits)-1].depth, Violation: st.to.violation, Steps: stepsToLast(visits)}
				}
				visited[hash] = struct{}{}
				next = append(next, st.to)
				if bounds.States > 0 && len(visits) >= bounds.States {
					return Result{States: len(visits), Depth: visits[len(visits)-1].depth}
				}
			}
		}
		frontierStart += len(frontier)
		frontier = next
	}
	return Result{States: len(visits), Depth: visits[len(visits)-1].depth, Complete: true}
}

// withinSize reports whether the fencing tokens of a state fit the model's size.
func (s *state) withinSize() bool {
	for i := range s.gateways {
		if s.gateways[i].token&counterMask > maxTokenCounter || s.gateways[i].unresolved.token&counterMask > maxTokenCounter {
			return false
		}
	}
	return true
}

// stepsToLast returns the steps from the initial state to the last visit.
func stepsToLast(visits []visit) []string {
	var steps []string
	for i := len(visits) - 1; visits[i].parent >= 0; i = visits[i].parent {
		steps = append(steps, visits[i].action)
	}
	slices.Reverse(steps)
	return steps
}
