package admin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/applepier/applepier/internal/targets"
)

// objectDecoder decodes the fields of a JSON object one by one and collects the
// errors of all fields, whereas encoding/json stops at the first error. An
// absent field leaves its destination unchanged; null sets it to zero.
type objectDecoder struct {
	raw      map[string]json.RawMessage
	problems []targets.Problem
	// malformed is true if the body is not a JSON object. No further problems
	// are reported then.
	malformed bool
}

// newObjectDecoder parses body. An empty body is treated as an object without
// fields.
func newObjectDecoder(body []byte) *objectDecoder {
	d := &objectDecoder{}
	if len(bytes.TrimSpace(body)) == 0 {
		return d
	}
	if err := json.Unmarshal(body, &d.raw); err != nil {
		d.malformed = true
		d.addProblem("body", "must be a JSON object: "+err.Error())
	}
	return d
}

// has reports whether the field is present and not null.
func (d *objectDecoder) has(name string) bool {
	raw, ok := d.raw[name]
	return ok && string(raw) != "null"
}

func (d *objectDecoder) stringField(name string, dest *string) {
	decodeField(d, name, "must be a string", dest)
}

func (d *objectDecoder) intField(name string, dest *int) {
	decodeField(d, name, "must be a whole number", dest)
}

func (d *objectDecoder) boolField(name string, dest *bool) {
	decodeField(d, name, "must be true or false", dest)
}

func (d *objectDecoder) durationField(name string, dest *time.Duration) {
	value := dest.String()
	problemsBefore := len(d.problems)
	decodeField(d, name, `must be a string with a unit, as "850ms"`, &value)
	if len(d.problems) > problemsBefore {
		return
	}
	if value == "" {
		*dest = 0
		return
	}
	parsed, err := time.ParseDuration(value)
	if err != nil {
		d.addProblem(name, fmt.Sprintf("%q is not a duration with a unit, as \"850ms\"", value))
		return
	}
	*dest = parsed
}

// decodeField decodes one field into dest and removes it from the raw fields.
// If the value has the wrong type, it records a problem with the given reason.
func decodeField[T any](d *objectDecoder, name, reason string, dest *T) {
	raw, ok := d.raw[name]
	if !ok {
		return
	}
	delete(d.raw, name)
	var value T
	if err := json.Unmarshal(raw, &value); err != nil {
		d.addProblem(name, reason)
		return
	}
	*dest = value
}

func (d *objectDecoder) addProblem(field, reason string) {
	d.problems = append(d.problems, targets.Problem{Field: field, Reason: reason})
}

// finish returns all problems, including one for each unknown field.
func (d *objectDecoder) finish() []targets.Problem {
	for _, name := range slices.Sorted(maps.Keys(d.raw)) {
		d.addProblem(name, "is not a field of this resource")
	}
	return d.problems
}

// finishWith returns all problems and those of more whose field has no problem
// yet. A value that could not be decoded is reported only once.
func (d *objectDecoder) finishWith(more []targets.Problem) []targets.Problem {
	problems := d.finish()
	if d.malformed {
		return problems
	}
	for _, problem := range more {
		reported := slices.ContainsFunc(problems, func(existing targets.Problem) bool { return existing.Field == problem.Field })
		if !reported {
			problems = append(problems, problem)
		}
	}
	return problems
}
