package targets

import "regexp"

// keyHashPattern matches a SHA-256 digest in lower-case hexadecimal.
var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Problems returns the invalid fields of the customer, without comparing it
// with other customers. Fields have their JSON names.
func (c Customer) Problems() []Problem {
	var problems []Problem
	if !namePattern.MatchString(c.Name) {
		problems = append(problems, Problem{Field: "name", Reason: invalidNameReason})
	}
	if !keyHashPattern.MatchString(c.KeyHash) {
		problems = append(problems, Problem{Field: "key_hash", Reason: "must be the SHA-256 of the API key as 64 lower-case hexadecimal digits"})
	}
	return problems
}
