package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
)

// Middleware guards a handler.
type Middleware func(http.Handler) http.Handler

// Operator lets requests with the operators' key through and answers 401 to
// others. With an empty key nothing is let through.
func Operator(key string) Middleware {
	return require(key, "the operators' key is required: send it as Authorization: Bearer KEY")
}

// System lets requests of the system's own processes through and answers 401
// to others. With an empty key nothing is let through.
func System(key string) Middleware {
	return require(key, "this address is for the system's own processes")
}

func require(key, reason string) Middleware {
	want := sha256.Sum256([]byte(key))
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// Hashes are compared, since the comparison would otherwise tell
			// the key's length.
			got := sha256.Sum256([]byte(bearer(r)))
			if key == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
				refuse(w, reason)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// refusal is the body of a 401, in the form of OpenAI's errors.
type refusal struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("WWW-Authenticate", "Bearer")
	w.WriteHeader(http.StatusUnauthorized)
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(refusal{Error: refusalError{Message: reason, Type: "authentication_error", Code: "unauthorized"}})
}
