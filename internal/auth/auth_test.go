package auth

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/targets"
)

func TestAuthenticateCustomer(t *testing.T) {
	set := &targets.Set{Customers: []targets.Customer{
		{Name: "kaivonkansi", KeyHash: HashKey("key-k")},
		{Name: "ledger", KeyHash: HashKey("key-l")},
	}}
	tests := []struct {
		name, authorization, header string
		trust                       bool
		want                        string
		err                         error
	}{
		{"key", "Bearer key-l", "", false, "ledger", nil},
		{"lower-case scheme", "bearer key-k", "", false, "kaivonkansi", nil},
		{"key takes precedence over the trusted header", "Bearer key-l", "kaivonkansi", true, "ledger", nil},
		{"wrong key with a trusted header", "Bearer key-x", "kaivonkansi", true, "", ErrUnknownKey},
		{"hash of a key sent as the key", "Bearer " + HashKey("key-l"), "", false, "", ErrUnknownKey},
		{"another scheme", "Basic key-l", "", false, "", ErrNoKey},
		{"neither key nor header", "", "", true, "", ErrNoKey},
		{"untrusted header", "", "ledger", false, "", ErrNoKey},
		{"trusted header", "", "ledger", true, "ledger", nil},
		{"trusted header with an unknown customer", "", "nobody", true, "", ErrUnknownCustomer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			r.Header.Set("Authorization", tt.authorization)
			r.Header.Set(CustomerHeader, tt.header)
			got, err := AuthenticateCustomer(set, tt.trust, r)
			if got != tt.want || !errors.Is(err, tt.err) {
				t.Fatalf("got %q, %v, want %q, %v", got, err, tt.want, tt.err)
			}
		})
	}
}

func TestRequireOperatorKey(t *testing.T) {
	tests := []struct {
		name, key, sent string
		status          int
	}{
		{"right key", "secret", "secret", http.StatusNoContent},
		{"wrong key", "secret", "guess", http.StatusUnauthorized},
		{"no key", "secret", "", http.StatusUnauthorized},
		{"empty operator key rejects every request", "", "", http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			handler := RequireOperatorKey(tt.key)(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusNoContent)
			}))
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			SetBearer(r.Header, tt.sent)
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Code != tt.status {
				t.Fatalf("status: got %d, want %d", w.Code, tt.status)
			}
			if tt.sent != "" && strings.Contains(w.Body.String(), tt.sent) {
				t.Fatal("the response contains the key")
			}
		})
	}
}
