package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing that is wrong in a settings file.
type Problem struct {
	// Line and Column count from 1; a missing key is reported where it should
	// be added.
	Line   int
	Column int
	// Field is the path of the key, for example "platform.url"; it is empty
	// when the problem concerns the file as a whole.
	Field string
	// Reason says what is wrong and what would be right.
	Reason string
}

// InvalidError lists every problem of a settings file, in order of position.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error gives one line a problem: file:line:column: field: reason.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.line(p))
	}
	return strings.Join(lines, "\n")
}

func (e *InvalidError) line(p Problem) string {
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
