package drain_test

import (
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// applyBound is the time after which a new desired state must be in force at all gateways.
const applyBound = 2 * time.Second

// Guards against a desired state that comes into force too late: calls that the store has accepted may never
// be answered, while new calls are.
func TestDesiredStateIsKnownWhenPendingCallsAreNeverAnswered(t *testing.T) {
	fixtures := gateway.StartGroup(t, 5, 0)
	first := fixtures[0]
	first.StartServer("i-1", gateway.Respond("whole"))
	for _, f := range fixtures {
		f.WaitFor("the gateway to serve", func() bool { return f.Post("/safe/x", "warm").Status == 200 })
	}
	time.Sleep(2 * time.Second)
	first.Store.SilencePendingFeeds("op")
	first.PutState(2, `,{"name":"new","host":"h.example","prefix":"/new/","type":"safe","timeout-ms":2000,"service":"plain","attempts":1}`, "")
	time.Sleep(applyBound)
	for i, f := range fixtures {
		if got := f.Post("/new/x", "new"); got.Status != 200 {
			t.Errorf("gateway %d returns %d on the new route", i, got.Status)
		}
	}
}
