package policy

// resumedStartTag is the start tag of the queue of resumed runs; it is below
// the start tag of every customer.
const resumedStartTag = -1

// customerKey identifies a queue within a class: the queue of one customer, or
// the common queue of all resumed runs.
type customerKey struct {
	name    string
	resumed bool
}
