package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
	"github.com/applepier/applepier/testbed/ports"
	"github.com/applepier/applepier/testbed/rowstore"
)

// customerLists are lists of customers in the order in which one desired state replaces another, with the
// status that a request with the key key-1 gets, and one with a key that no state has. A state without
// the list asks for no keys; one whose list is empty has no valid key.
var customerLists = []struct {
	name, tenants     string
	withKey, otherKey int
}{
	{"no list", "", http.StatusOK, http.StatusOK},
	{"a customer", `[{"name":"crew","api-keys":["key-1"]}]`, http.StatusOK, http.StatusUnauthorized},
	{"an empty list", `[]`, http.StatusUnauthorized, http.StatusUnauthorized},
	{"no list after an empty one", "", http.StatusOK, http.StatusOK},
	{"an empty list after none", `[]`, http.StatusUnauthorized, http.StatusUnauthorized},
	{"a customer after an empty list", `[{"name":"crew","api-keys":["key-1"]}]`, http.StatusOK, http.StatusUnauthorized},
	{"null", `null`, http.StatusUnauthorized, http.StatusUnauthorized},
	{"a customer after null", `[{"name":"crew","api-keys":["key-1"]}]`, http.StatusOK, http.StatusUnauthorized},
	{"a customer without keys", `[{"name":"crew","api-keys":[]}]`, http.StatusUnauthorized, http.StatusUnauthorized},
	{"a customer with an empty key", `[{"name":"crew","api-keys":[""]}]`, http.StatusUnauthorized, http.StatusUnauthorized},
	{"a customer with a null key", `[{"name":"crew","api-keys":[null,"key-1"]}]`, http.StatusOK, http.StatusUnauthorized},
	{"no list after a customer without keys", "", http.StatusOK, http.StatusOK},
}

// Guards against an empty list of customers that is taken for none, so that every request runs, where the
// state changes: one gateway reads the changes from the store, the other gets them from the first.
func TestEmptyListOfCustomersAllowsNoKey(t *testing.T) {
	t.Parallel()
	first, second := startWithoutStore(t)
	for i, list := range customerLists {
		mark := first.PutTenants(2+i, list.tenants)
		expectStatuses(t, first, list.name+", from the store", mark, list.withKey, list.otherKey)
		expectStatuses(t, second, list.name+", from a gateway", mark, list.withKey, list.otherKey)
	}
}

// Guards against the same at the start of a gateway, which reads the store or gets the state from another
// gateway.
func TestEmptyListOfCustomersAllowsNoKeyAtStart(t *testing.T) {
	t.Parallel()
	for _, list := range customerLists {
		t.Run(list.name, func(t *testing.T) {
			t.Parallel()
			first, second := startWithoutStore(t)
			mark := first.PutTenants(2, list.tenants)
			expectStatuses(t, first, "first", mark, list.withKey, list.otherKey)
			fromStore := gateway.NewFixture(t, gateway.Options{Name: "gateway-3", Revoke: keyRevocation, Store: first.Store})
			expectStatuses(t, fromStore, "from the store", mark, list.withKey, list.otherKey)
			addr := ports.ReserveForTest(t)
			first.Store.Put("gateways", "gateway-4", []byte(addr))
			fromGateway := gateway.NewFixture(t, gateway.Options{Name: "gateway-4", PeerListen: addr, Revoke: keyRevocation, WithoutState: true, StoreFault: rowstore.Unavailable})
			expectStatuses(t, fromGateway, "from a gateway", mark, list.withKey, list.otherKey)
			expectStatuses(t, second, "second", mark, list.withKey, list.otherKey)
		})
	}
}

// keyRevocation is the time within which a revoked key must stop working.
const keyRevocation = 5 * time.Second

// startWithoutStore starts a gateway with a server, and another one that can't reach the store.
func startWithoutStore(t *testing.T) (first, withoutStore *gateway.Fixture) {
	addr := ports.ReserveForTest(t)
	withoutStore = gateway.NewFixture(t, gateway.Options{Name: "gateway-2", PeerListen: addr, Revoke: keyRevocation, WithoutState: true, StoreFault: rowstore.Unavailable})
	first = gateway.NewFixture(t, gateway.Options{Revoke: keyRevocation, ListedGateways: map[string]string{"gateway-2": addr}})
	first.StartServer("i-1", gateway.Respond("whole"))
	for _, f := range []*gateway.Fixture{first, withoutStore} {
		f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == http.StatusOK })
	}
	return first, withoutStore
}

// expectStatuses waits until a gateway has the state with the given route. Then it sends requests with the
// key key-1, with a key that no state has, without a key, and to a public route, and checks their status.
// The request without a key gets the same as one with an unknown key.
func expectStatuses(t *testing.T, f *gateway.Fixture, path, mark string, withKey, otherKey int) {
	t.Helper()
	f.WaitFor(path+": the state to be in force", func() bool {
		status := f.Post(mark, "mark").Status
		return status == http.StatusOK || status == http.StatusUnauthorized
	})
	send := func(route, id, authorization string) int {
		req := f.Request(t.Context(), http.MethodPost, route, id, nil)
		req.Header.Del("Authorization")
		if authorization != "" {
			req.Header.Set("Authorization", authorization)
		}
		return f.Do(req).Status
	}
	for _, c := range []struct {
		what, route, authorization string
		want                       int
	}{
		{"the key", "/safe/x", "Bearer key-1", withKey},
		{"another key", "/safe/x", "Bearer never", otherKey},
		{"no key", "/safe/x", "", otherKey},
		{"no key, public", "/open/x", "", http.StatusOK},
	} {
		if got := send(c.route, c.what, c.authorization); got != c.want {
			t.Errorf("%s, %s: status %d, want %d", path, c.what, got, c.want)
		}
	}
}
