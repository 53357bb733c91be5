package targets

import (
	"fmt"
	"regexp"
)

// Bounds of a Set. They keep it, in all processes, below a megabyte, with
// room for ten times the customers of the target size.
const (
	// MaxClasses bounds the classes, retired ones included.
	MaxClasses = 256
	// MaxCustomers bounds the customers.
	MaxCustomers = 4000
)

// namePattern is what names of classes, customers, models and services look
// like. It has no separator of URLs, log lines or table keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameReason = "must be 1 to 63 letters, digits, dots, hyphens or underscores, beginning with a letter or digit"

// Validate returns a ValidationError with every problem of the Set, or nil.
func (s *Set) Validate() error {
	var problems []Problem
	problems = append(problems, s.classProblems()...)
	problems = append(problems, s.customerProblems()...)
	if len(problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: problems}
}

func (s *Set) classProblems() []Problem {
	var problems []Problem
	if len(s.Classes) > MaxClasses {
		problems = append(problems, Problem{Field: "classes", Reason: fmt.Sprintf("must be at most %d, retired ones included", MaxClasses)})
	}
	seen := make(map[string]bool, len(s.Classes))
	for _, c := range s.Classes {
		prefix := "classes." + c.Name + "."
		problems = append(problems, Prefixed(prefix, c.Problems())...)
		if seen[c.Name] {
			problems = append(problems, Problem{Field: prefix + "name", Reason: "is used by another class"})
		}
		seen[c.Name] = true
	}
	return problems
}

func (s *Set) customerProblems() []Problem {
	var problems []Problem
	if len(s.Customers) > MaxCustomers {
		problems = append(problems, Problem{Field: "customers", Reason: fmt.Sprintf("must be at most %d", MaxCustomers)})
	}
	names := make(map[string]bool, len(s.Customers))
	hashes := make(map[string]bool, len(s.Customers))
	for _, c := range s.Customers {
		prefix := "customers." + c.Name + "."
		problems = append(problems, Prefixed(prefix, c.Problems())...)
		if names[c.Name] {
			problems = append(problems, Problem{Field: prefix + "name", Reason: "is used by another customer"})
		}
		if hashes[c.KeyHash] {
			problems = append(problems, Problem{Field: prefix + "key_hash", Reason: "is used by another customer"})
		}
		names[c.Name] = true
		hashes[c.KeyHash] = true
	}
	return problems
}
