// Package auth authenticates customers, operators and the system's own processes
// by their keys. Keys are compared in constant time. Neither keys nor their
// hashes appear in logs or errors. Start reading at AuthenticateCustomer.
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

// CustomerHeader is the request header that names the customer of a request
// without an API key. Only entries that trust the proxy in front of them use it.
const CustomerHeader = "X-Applepier-Customer"

// Errors of AuthenticateCustomer.
var (
	// ErrNoKey is returned for a request without an API key and without a
	// trusted CustomerHeader.
	ErrNoKey = errors.New("no API key: send it as Authorization: Bearer KEY")
	// ErrUnknownKey is returned if no customer has the API key.
	ErrUnknownKey = errors.New("API key is not known")
	// ErrUnknownCustomer is returned if the trusted CustomerHeader names an
	// unknown customer.
	ErrUnknownCustomer = errors.New("customer in " + CustomerHeader + " is not known")
)

const bearerPrefix = "Bearer "

// AuthenticateCustomer returns the name of the customer that sent the request.
// If the request has an API key, only the key counts, even if it is wrong.
// Otherwise CustomerHeader is used if trustHeader is set. The error is ErrNoKey,
// ErrUnknownKey or ErrUnknownCustomer.
func AuthenticateCustomer(set *targets.Set, trustHeader bool, r *http.Request) (string, error) {
	if key := bearerToken(r); key != "" {
		return customerByKey(set, key)
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

// HashKey returns the SHA-256 hash of an API key in hexadecimal, the format of
// targets.Customer.KeyHash.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// SetBearer sets the Authorization header to a bearer token with the given key.
func SetBearer(h http.Header, key string) {
	h.Set("Authorization", bearerPrefix+key)
}

// customerByKey returns the name of the customer with the API key, or
// ErrUnknownKey. It compares the key with the hashes of all customers, so that
// its duration does not depend on which one matches.
func customerByKey(set *targets.Set, key string) (string, error) {
	keyHash := []byte(HashKey(key))
	name := ""
	for _, c := range set.Customers {
		if subtle.ConstantTimeCompare(keyHash, []byte(c.KeyHash)) == 1 {
			name = c.Name
		}
	}
	if name == "" {
		return "", ErrUnknownKey
	}
	return name, nil
}

// bearerToken returns the request's bearer token, or "" if there is none. The
// scheme name is case-insensitive.
func bearerToken(r *http.Request) string {
	value := r.Header.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}
