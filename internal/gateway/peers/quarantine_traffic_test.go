package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/applepier/applepier/policy"
)

// suspicionBytes returns how many bytes a gateway's next updates add to a number of datagrams.
func suspicionBytes(t *testing.T, q *policy.Quarantine, now time.Time, datagrams int) int {
	empty := len(mustMarshal(t, sharedState{}))
	total := 0
	for range datagrams {
		requests, segments := packSuspicions(now, q.Updates(now))
		total += len(mustMarshal(t, sharedState{Suspicions: requests, SegmentSuspicions: segments})) - empty
		now = now.Add(gossipInterval)
	}
	return total
}

// Guards against suspicions that take up the three kilobytes per second that a gateway's control traffic
// may take, at a handful of gateways. Larger deployments send the same to each gateway.
func TestTrafficOfSuspicions(t *testing.T) {
	const datagramsPerSecond = int(time.Second / gossipInterval)
	now := time.Now()
	crash := func(q *policy.Quarantine, at time.Time, instance, runs int) {
		c := policy.Crash{Instance: policy.KeyOf(fmt.Sprint(instance)), At: at, Ran: 150 * time.Millisecond}
		for run := range runs {
			q.ObserveCrash(at, policy.Fingerprint(1<<60+100*instance+run), c.Instance)
			q.ObserveSegmentCrash([]policy.SegmentID{policy.SegmentID(1<<40 + 2*run), policy.SegmentID(1<<41 + 100*instance + run)}, c)
		}
	}
	for _, runs := range []int{3, 20} {
		q := policy.NewQuarantine()
		crash(q, now, 1, runs)
		bytes := suspicionBytes(t, q, now, 2*datagramsPerSecond)
		t.Logf("a crash with %d runs of two rare segments each: %d bytes to each gateway", runs, bytes)
	}
	q := policy.NewQuarantine()
	for i := range 4 {
		crash(q, now.Add(time.Duration(i)*time.Second), i, 3)
	}
	settled := now.Add(time.Minute)
	suspicionBytes(t, q, settled, 10*datagramsPerSecond)
	if q.Len() == 0 {
		t.Fatal("nothing is quarantined")
	}
	perSecond := suspicionBytes(t, q, settled, 100*datagramsPerSecond) / 100
	for _, gateways := range []int{6, 68, 410} {
		t.Logf("%d quarantined, no crash: %d bytes a second to %d other gateways, %d in all", q.Len(), perSecond, gateways-1, perSecond*(gateways-1))
	}
	if perSecond*5 > 3000 {
		t.Errorf("%d bytes a second to five other gateways", perSecond*5)
	}
}
