package targets

import "strings"

// Problem describes one invalid field in an operator's request.
type Problem struct {
	// Field is the path of the invalid field, for example "classes.hazard-flag.tier".
	Field string `json:"field"`
	// Reason describes the error and which values are valid.
	Reason string `json:"reason"`
}

// ValidationError reports all invalid fields of a Set.
type ValidationError struct {
	Problems []Problem
}

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Field + ": " + p.Reason
	}
	return "invalid targets: " + strings.Join(lines, "; ")
}

// PrefixFields returns a copy of problems with prefix prepended to each Field.
func PrefixFields(prefix string, problems []Problem) []Problem {
	prefixed := make([]Problem, len(problems))
	for i, p := range problems {
		prefixed[i] = Problem{Field: prefix + p.Field, Reason: p.Reason}
	}
	return prefixed
}
