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

// fields reads the fields of a JSON object one by one and collects what is
// wrong with each, where encoding/json would stop at the first. A field that
// is absent leaves its destination as it is; null clears it.
type fields struct {
	raw      map[string]json.RawMessage
	problems []targets.Problem
	// broken says that the body is no object, so that nothing else is worth
	// saying of it.
	broken bool
}

// parseFields reads a body; an empty one has no fields.
func parseFields(body []byte) *fields {
	f := &fields{}
	if len(bytes.TrimSpace(body)) == 0 {
		return f
	}
	if err := json.Unmarshal(body, &f.raw); err != nil {
		f.broken = true
		f.problem("body", "must be a JSON object: "+err.Error())
	}
	return f
}

// has reports whether the field is there and not null.
func (f *fields) has(name string) bool {
	raw, ok := f.raw[name]
	return ok && string(raw) != "null"
}

func (f *fields) text(name string, into *string) {
	take(f, name, "must be a string", into)
}

func (f *fields) number(name string, into *int) {
	take(f, name, "must be a whole number", into)
}

func (f *fields) flag(name string, into *bool) {
	take(f, name, "must be true or false", into)
}

func (f *fields) duration(name string, into *time.Duration) {
	value := into.String()
	before := len(f.problems)
	take(f, name, `must be a string with a unit, as "850ms"`, &value)
	if len(f.problems) > before {
		return
	}
	if value == "" {
		*into = 0
		return
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		f.problem(name, fmt.Sprintf("%q is not a duration with a unit, as \"850ms\"", value))
		return
	}
	*into = d
}

// take decodes and uses up one field.
func take[T any](f *fields, name, reason string, into *T) {
	raw, ok := f.raw[name]
	if !ok {
		return
	}
	delete(f.raw, name)
	var value T
	if err := json.Unmarshal(raw, &value); err != nil {
		f.problem(name, reason)
		return
	}
	*into = value
}

func (f *fields) problem(field, reason string) {
	f.problems = append(f.problems, targets.Problem{Field: field, Reason: reason})
}

// finish returns all problems, those of fields that nobody took included.
func (f *fields) finish() []targets.Problem {
	for _, name := range slices.Sorted(maps.Keys(f.raw)) {
		f.problem(name, "is not a field of this resource")
	}
	return f.problems
}

// finishWith returns all problems and adds those of fields that have none yet:
// of a value that could not be read, nothing else is worth saying.
func (f *fields) finishWith(more []targets.Problem) []targets.Problem {
	problems := f.finish()
	if f.broken {
		return problems
	}
	for _, p := range more {
		known := slices.ContainsFunc(problems, func(q targets.Problem) bool { return q.Field == p.Field })
		if !known {
			problems = append(problems, p)
		}
	}
	return problems
}
