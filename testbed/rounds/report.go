package rounds

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// Report is the detailed report of a day; fields that this package doesn't use are
// left out.
type Report struct {
	// Score is the earned benefit divided by the owed benefit, less penalties. It is
	// the weighted sum of Parts minus the costs of Penalties.
	Score     float64   `json:"G"`
	Parts     []Part    `json:"parts"`
	Penalties []Penalty `json:"prices"`
	Classes   []Outcome `json:"classes"`
	// Windows are time windows of a few seconds, named by the second at which
	// they begin.
	Windows  []Outcome `json:"windows"`
	Unserved []Ending  `json:"unserved_by"`
}

// Ending counts the unserved requests whose last attempt ended in the same way.
type Ending struct {
	Name     string
	Requests int
}

// ReadReport reads the report of a day. Errors wrap ErrUnreadable.
func ReadReport(name string) (Report, error) {
	var r Report
	err := readJSON(name, &r)
	return r, err
}

// UnmarshalJSON decodes [name, weight, value].
func (p *Part) UnmarshalJSON(data []byte) error {
	return decodeArray(data, &p.Name, &p.Weight, &p.Value)
}

// UnmarshalJSON decodes [name, amount, cost].
func (p *Penalty) UnmarshalJSON(data []byte) error {
	return decodeArray(data, &p.Name, &p.Amount, &p.Cost)
}

// UnmarshalJSON decodes [name, requests, ...]; the examples that follow are ignored.
func (e *Ending) UnmarshalJSON(data []byte) error {
	return decodeArray(data, &e.Name, &e.Requests)
}

// decodeArray decodes the first elements of a JSON array into the targets.
func decodeArray(data []byte, targets ...any) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return errors.Wrap(ErrUnreadable, err.Error())
	}
	if len(elements) < len(targets) {
		return errors.Wrapf(ErrUnreadable, "array has %d elements, need at least %d", len(elements), len(targets))
	}
	for i := range targets {
		if err := json.Unmarshal(elements[i], targets[i]); err != nil {
			return errors.Wrap(ErrUnreadable, err.Error())
		}
	}
	return nil
}
