package targets

import "regexp"

// keyHashPattern is a SHA-256 in hexadecimal.
var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Problems returns everything that is wrong with the customer by itself.
// Fields are named as in the customer's JSON.
func (c Customer) Problems() []Problem {
	var problems []Problem
	if !namePattern.MatchString(c.Name) {
		problems = append(problems, Problem{Field: "name", Reason: nameReason})
	}
	if !keyHashPattern.MatchString(c.KeyHash) {
		problems = append(problems, Problem{Field: "key_hash", Reason: "must be the SHA-256 of the API key as 64 lower-case hexadecimal digits"})
	}
	return problems
}
