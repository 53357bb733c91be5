package policy

// resumedTag is a start tag before that of any customer.
const resumedTag = -1

// customerKey names a line within a class: that of a customer, or the one of
// all runs that are to be resumed.
type customerKey struct {
	name    string
	resumed bool
}
