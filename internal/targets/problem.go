package targets

import "strings"

// Problem is one thing that is wrong with a request of an operator.
type Problem struct {
	// Field names what is wrong, for example "classes.hazard-flag.tier".
	Field string `json:"field"`
	// Reason says what is wrong with it, and what would be right.
	Reason string `json:"reason"`
}

// ValidationError holds all problems of a Set at once.
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

// Prefixed returns the problems with prefix before each field.
func Prefixed(prefix string, problems []Problem) []Problem {
	prefixed := make([]Problem, len(problems))
	for i, p := range problems {
		prefixed[i] = Problem{Field: prefix + p.Field, Reason: p.Reason}
	}
	return prefixed
}
