package policy

// lateCostFactor multiplies the fair-queueing cost of a top-tier ticket that can
// no longer meet its target, relative to one that can. While both kinds wait,
// late tickets get one grant in 65. Their wait is determined by the end of the
// burst; the share is above zero so that their queue advances however long the
// burst lasts.
const lateCostFactor = 64

// classKey identifies the queue of a class. Top-tier tickets that can no longer
// meet their target wait in a separate queue with late set.
type classKey struct {
	name string
	late bool
}

// costFactor returns the factor by which a grant to the queue is charged.
func (k classKey) costFactor() float64 {
	if k.late {
		return lateCostFactor
	}
	return 1
}
