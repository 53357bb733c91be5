package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StorePollers is the number of gateways that poll the store on behalf of all.
const StorePollers = 3

// StartGroup starts n gateways that share a store, ordered so that the pollers come first, and
// waits until the others have stopped polling. It also lists further gateways that don't run;
// notRunning is their number.
func StartGroup(t testing.TB, n, notRunning int) []*Fixture {
	t.Helper()
	return startGroup(t, n, notRunning, func(int, *Options) {})
}

// StartChildGroup is StartGroup for gateways in child processes.
func StartChildGroup(t testing.TB, n int) ([]*Fixture, []*Child) {
	t.Helper()
	children := make([]*Child, n)
	fixtures := startGroup(t, n, 0, func(i int, o *Options) {
		children[i] = &Child{}
		o.Run = children[i].Run
	})
	return fixtures, children
}

// startGroup is StartGroup with a change to the options of each gateway, by its index.
func startGroup(t testing.TB, n, notRunning int, change func(int, *Options)) []*Fixture {
	t.Helper()
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("gateway-%d", i)
	}
	slices.SortFunc(names, func(a, b string) int {
		return int(int64(uint32(xxhash.Sum64String(a))) - int64(uint32(xxhash.Sum64String(b))))
	})
	listed := map[string]string{}
	for i := range notRunning {
		listed[fmt.Sprintf("silent-%d", i)] = "127.0.0.1:1"
	}
	fixtures := make([]*Fixture, n)
	for i, name := range names {
		o := Options{Name: name, Revoke: 5 * time.Second}
		if i > 0 {
			o.Store = fixtures[0].Store
		} else {
			o.ListedGateways = listed
		}
		change(i, &o)
		fixtures[i] = NewFixture(t, o)
	}
	// Gateways list themselves and learn of each other from the list within two seconds.
	time.Sleep(4 * time.Second)
	return fixtures
}
