package drain_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// ownOutage is how long one gateway gets no responses from the store, while all others do.
const ownOutage = 4 * time.Second

// Guards against a server that gets requests after it has deleted its entry, because a gateway takes the
// deletion for an entry that expired in an outage of the store. The outage was the gateway's own: the others
// were in touch with the store all the time.
func TestDeletedServerIsNotKeptAfterAnOutageOfOneGateway(t *testing.T) {
	t.Parallel()
	fixtures := gateway.StartGroup(t, groupSize, 0)
	first := fixtures[0]
	leaving := useTwoServers(t, fixtures)
	first.BlockStoreResponses(true)
	time.Sleep(ownOutage)
	first.BlockStoreResponses(false)
	// It is in touch again before the entry is deleted.
	time.Sleep(2 * time.Second)
	first.Store.Delete("servers", leaving.Instance)
	time.Sleep(drainBound)
	expectNoRequests(t, first, fixtures)
}
