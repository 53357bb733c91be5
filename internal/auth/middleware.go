package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
)

// Middleware wraps a handler and rejects unauthorized requests.
type Middleware func(http.Handler) http.Handler

// RequireOperatorKey returns a middleware that accepts only requests with the
// operator key and responds with 401 to all others. An empty key rejects every
// request.
func RequireOperatorKey(key string) Middleware {
	return requireKey(key, "the operators' key is required: send it as Authorization: Bearer KEY")
}

// RequireSystemKey returns a middleware that accepts only requests with the key
// of the system's own processes and responds with 401 to all others. An empty
// key rejects every request.
func RequireSystemKey(key string) Middleware {
	return requireKey(key, "this address is for the system's own processes")
}

// requireKey returns a middleware that responds with 401 and the message to
// requests without the key.
func requireKey(key, message string) Middleware {
	wantHash := sha256.Sum256([]byte(key))
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// Hashes have equal lengths; comparing the keys themselves would
			// reveal the key's length through the response time.
			gotHash := sha256.Sum256([]byte(bearerToken(r)))
			if key == "" || subtle.ConstantTimeCompare(gotHash[:], wantHash[:]) != 1 {
				writeUnauthorized(w, message)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// errorResponse is the body of a 401 response, in the format of OpenAI errors.
type errorResponse struct {
	Error errorInfo `json:"error"`
}

type errorInfo struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeUnauthorized(w http.ResponseWriter, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("WWW-Authenticate", "Bearer")
	w.WriteHeader(http.StatusUnauthorized)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(errorResponse{Error: errorInfo{Message: message, Type: "authentication_error", Code: "unauthorized"}})
}
