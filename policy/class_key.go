package policy

// lateCost is what a grant to a late top-tier ticket counts for beside one
// that can still be on time: the late ones get one grant in 65 while both
// wait. How long they wait is set by the end of the burst. It is not
// nothing, so that their line moves however long a burst lasts.
const lateCost = 64

// classKey names the line of a class. The top tier's tickets that can't be on
// time any more wait in a line of their own.
type classKey struct {
	name string
	late bool
}

func (k classKey) cost() float64 {
	if k.late {
		return lateCost
	}
	return 1
}
