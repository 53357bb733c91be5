package policy

// lateCost is what a grant to a late top-tier ticket counts for beside one
// that can still be on time: the late ones get one grant in nine while both
// wait. With more, a burst beyond the engines' capacity makes all of them
// late; with none, those that were late first would wait for the burst's end.
const lateCost = 8

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
