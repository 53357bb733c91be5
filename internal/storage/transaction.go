package storage

// Transaction is the body of a commit: all of its writes or none.
type Transaction struct {
	Writes []Write `json:"writes"`
}
