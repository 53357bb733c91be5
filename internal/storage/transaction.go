package storage

// Transaction is the body of a commit request. Either all of its writes are
// applied or none.
type Transaction struct {
	Writes []Write `json:"writes"`
}
