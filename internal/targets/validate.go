package targets

import (
	"fmt"
	"regexp"
)

// Limits of a Set. They keep it below one megabyte in every process, and allow
// ten times as many customers as the system's target size has.
const (
	// MaxClasses is the maximum number of classes, retired ones included.
	MaxClasses = 256
	// MaxCustomers is the maximum number of customers.
	MaxCustomers = 4000
)

// namePattern matches valid names of classes, customers, models and services.
// It excludes characters that separate parts of URLs, log lines or table keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const invalidNameReason = "must be 1 to 63 letters, digits, dots, hyphens or underscores, beginning with a letter or digit"

// Validate returns nil if the Set is valid, or a *ValidationError that lists
// every invalid field.
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
		problems = append(problems, PrefixFields(prefix, c.Problems())...)
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
		problems = append(problems, PrefixFields(prefix, c.Problems())...)
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
