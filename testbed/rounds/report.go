package rounds

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// Report is a day in full, as far as it is read here.
type Report struct {
	// Worth is benefit earned by benefit owed, less prices: parts and prices make
	// it.
	Worth   float64   `json:"G"`
	Parts   []Part    `json:"parts"`
	Prices  []Price   `json:"prices"`
	Classes []Outcome `json:"classes"`
	// Windows are a few seconds each; their names are the seconds at which they
	// begin.
	Windows  []Outcome `json:"windows"`
	Unserved []Ending  `json:"unserved_by"`
}

// Ending is how the last try of so many requests ended that weren't served.
type Ending struct {
	Name     string
	Requests int
}

// ReadReport reads a day's report.
func ReadReport(name string) (Report, error) {
	var r Report
	err := readJSON(name, &r)
	return r, err
}

// UnmarshalJSON reads [name, weight, value].
func (p *Part) UnmarshalJSON(data []byte) error {
	return readRow(data, &p.Name, &p.Weight, &p.Value)
}

// UnmarshalJSON reads [name, amount, cost].
func (p *Price) UnmarshalJSON(data []byte) error {
	return readRow(data, &p.Name, &p.Amount, &p.Cost)
}

// UnmarshalJSON reads [name, requests, ...]; examples follow.
func (e *Ending) UnmarshalJSON(data []byte) error {
	return readRow(data, &e.Name, &e.Requests)
}

// readRow reads the first values of an array.
func readRow(data []byte, into ...any) error {
	var row []json.RawMessage
	if err := json.Unmarshal(data, &row); err != nil {
		return errors.Wrap(ErrUnreadable, err.Error())
	}
	if len(row) < len(into) {
		return errors.Wrapf(ErrUnreadable, "a row of %d values, %d are needed", len(row), len(into))
	}
	for i := range into {
		if err := json.Unmarshal(row[i], into[i]); err != nil {
			return errors.Wrap(ErrUnreadable, err.Error())
		}
	}
	return nil
}
