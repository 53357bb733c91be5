package auth

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/applepier/applepier/internal/targets"
)

// BenchmarkAuthenticateCustomer measures the lookup of a customer by API key
// among 400 customers.
func BenchmarkAuthenticateCustomer(b *testing.B) {
	set := &targets.Set{}
	for i := range 400 {
		key := fmt.Sprintf("key-of-customer-%03d", i)
		set.Customers = append(set.Customers, targets.Customer{Name: key, KeyHash: HashKey(key)})
	}
	r := &http.Request{Header: http.Header{}}
	SetBearer(r.Header, "key-of-customer-399")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := AuthenticateCustomer(set, false, r); err != nil {
			b.Fatal(err)
		}
	}
}
