package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in a settings file.
type Problem struct {
	// Line and Column start at 1; a missing key is reported at the mapping that
	// lacks it.
	Line   int
	Column int
	// Field is the path of the key, for example "platform.url"; it is empty if
	// the problem concerns the whole file.
	Field string
	// Reason describes the error and what is expected instead.
	Reason string
}

// InvalidError lists every problem in a settings file, sorted by position.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error formats each problem as a line "file:line:column: field: reason".
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.formatProblem(p))
	}
	return strings.Join(lines, "\n")
}

func (e *InvalidError) formatProblem(p Problem) string {
	position := fmt.Sprintf("%s:%d:%d: ", e.File, p.Line, p.Column)
	if p.Field == "" {
		return position + p.Reason
	}
	return position + p.Field + ": " + p.Reason
}

func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Field, b.Field),
		)
	})
}
