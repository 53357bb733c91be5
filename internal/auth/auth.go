// Package auth tells callers, operators and the system's own processes apart
// by their keys. Keys are compared in constant time, and neither keys nor
// their hashes are logged or put into errors. Start reading at Caller.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/targets"
)

// CustomerHeader names the customer of a caller without an API key, on entries
// that trust what is in front of them.
const CustomerHeader = "X-Applepier-Customer"

// Errors of Caller.
var (
	// ErrNoKey: the request carries no API key, and no trusted header.
	ErrNoKey = errors.New("no API key: send it as Authorization: Bearer KEY")
	// ErrUnknownKey: no customer has this API key.
	ErrUnknownKey = errors.New("API key is not known")
	// ErrUnknownCustomer: the trusted header names no customer.
	ErrUnknownCustomer = errors.New("customer in " + CustomerHeader + " is not known")
)

const bearerPrefix = "Bearer "

// Caller returns the name of the customer that a request is for. An API key
// decides if there is one, also when it is wrong; otherwise CustomerHeader
// does, if it is trusted. Errors: ErrNoKey, ErrUnknownKey, ErrUnknownCustomer.
func Caller(set *targets.Set, trustHeader bool, r *http.Request) (string, error) {
	if key := bearer(r); key != "" {
		return byKey(set, key)
	}
	name := r.Header.Get(CustomerHeader)
	if !trustHeader || name == "" {
		return "", ErrNoKey
	}
	if _, ok := set.Customer(name); !ok {
		return "", ErrUnknownCustomer
	}
	return name, nil
}

// HashKey returns the SHA-256 of an API key in hexadecimal, as
// targets.Customer keeps it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// SetBearer makes a request carry a key of the system or of an operator.
func SetBearer(h http.Header, key string) {
	h.Set("Authorization", bearerPrefix+key)
}

// byKey compares with the hashes of all customers, so that the time it takes
// doesn't depend on which one matches.
func byKey(set *targets.Set, key string) (string, error) {
	hash := []byte(HashKey(key))
	name := ""
	for _, c := range set.Customers {
		if subtle.ConstantTimeCompare(hash, []byte(c.KeyHash)) == 1 {
			name = c.Name
		}
	}
	if name == "" {
		return "", ErrUnknownKey
	}
	return name, nil
}

// bearer returns the request's key, empty when there is none. The scheme's
// name is not case-sensitive.
func bearer(r *http.Request) string {
	value := r.Header.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}
