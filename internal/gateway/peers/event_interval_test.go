package peers

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/policy"
)

// earlierState is a part of sharedState as the release before event intervals decodes and sends it.
type earlierState struct {
	StateVersion uint64         `cbor:"1,keyasint,omitempty"`
	Loads        []serverLoad   `cbor:"5,keyasint,omitempty"`
	Pauses       []longestPause `cbor:"9,keyasint,omitempty"`
	ServersAge   uint64         `cbor:"17,keyasint,omitempty"`
}

// Guards against a rolling update in which gateways of the previous release can't decode a datagram with
// event intervals, or those of this release one without them.
func TestEventIntervalsBesideThePreviousRelease(t *testing.T) {
	state := sharedState{
		StateVersion: 7, Loads: []serverLoad{{Server: 1, Running: 2}}, Pauses: []longestPause{{Server: 3, LongestMillis: 100}}, ServersAge: 50,
		EventIntervals: packEventIntervals([]policy.EventInterval{{Service: 9, Server: 1, Interval: 12 * time.Millisecond}}),
	}
	var earlier earlierState
	if err := cbor.Unmarshal(mustMarshal(t, state), &earlier); err != nil {
		t.Fatal(err)
	}
	if earlier.StateVersion != 7 || len(earlier.Loads) != 1 || len(earlier.Pauses) != 1 || earlier.ServersAge != 50 {
		t.Errorf("the previous release decodes %+v", earlier)
	}
	envelope := map[int]any{1: "edge-1", 7: cbor.RawMessage(mustMarshal(t, earlier))}
	in, err := decode(mustMarshal(t, envelope))
	if err != nil {
		t.Fatal(err)
	}
	if in.StateVersion != 7 || len(in.Pauses) != 1 || len(in.EventIntervals) != 0 {
		t.Errorf("decoded %+v from the previous release", in.sharedState)
	}
}

// Guards against more samples than a datagram may hold, on either side, and against intervals that
// overflow.
func TestEventIntervalsAreBounded(t *testing.T) {
	intervals := make([]policy.EventInterval, policy.MaxEventIntervals+10)
	intervals[0].Interval, intervals[1].Interval, intervals[2].Interval = math.MaxInt64, -time.Second, math.MinInt64
	packed := packEventIntervals(intervals)
	if len(packed) != policy.MaxEventIntervals {
		t.Errorf("%d samples are sent", len(packed))
	}
	if packed[0].IntervalMicros != math.MaxUint32 || packed[1].IntervalMicros != 0 || packed[2].IntervalMicros != 0 {
		t.Errorf("sent %+v", packed[:3])
	}
	unpacked := unpackEventIntervals(make([]eventInterval, policy.MaxEventIntervals+10))
	if len(unpacked) != policy.MaxEventIntervals {
		t.Errorf("%d samples are taken from a datagram", len(unpacked))
	}
	if got := unpackEventIntervals(packed)[0].Interval; got <= 0 {
		t.Errorf("the longest interval is decoded as %v", got)
	}
}
