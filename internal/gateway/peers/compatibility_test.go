package peers

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/policy"
)

func mustMarshal(t testing.TB, value any) []byte {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// During a rolling update, gateways of two consecutive releases must decode each other's
// datagrams.
func TestDecodeDatagramsOfOtherReleases(t *testing.T) {
	currentState := map[int]any{1: uint64(7), 2: uint64(30), 3: polling, 4: uint64(9), 5: []serverLoad{{Server: 1, Running: 2}}}
	laterState := map[int]any{1: uint64(7), 5: []serverLoad{{Server: 1, Running: 2}}, 90: "later", 91: []any{1, map[string]any{"a": 2}}}
	envelope := map[int]any{1: "edge-1", 2: uint64(3), 3: uint64(4), 4: uint64(5)}
	cases := map[string]struct {
		envelope, state map[int]any
		want            sharedState
	}{
		"same release":       {envelope, currentState, sharedState{StateVersion: 7, ConfirmationAge: 30, StoreMode: polling, ServersPosition: 9, Loads: []serverLoad{{Server: 1, Running: 2}}}},
		"unknown fields":     {map[int]any{1: "edge-1", 2: uint64(3), 3: uint64(4), 4: uint64(5), 40: "later"}, laterState, sharedState{StateVersion: 7, Loads: []serverLoad{{Server: 1, Running: 2}}}},
		"missing fields":     {map[int]any{1: "edge-1"}, map[int]any{}, sharedState{}},
		"unknown store mode": {envelope, map[int]any{3: 77}, sharedState{StoreMode: 77}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.envelope[7] = cbor.RawMessage(mustMarshal(t, c.state))
			in, err := decode(mustMarshal(t, c.envelope))
			if err != nil {
				t.Fatal(err)
			}
			if in.From != "edge-1" || in.sharedState.StateVersion != c.want.StateVersion || in.sharedState.ConfirmationAge != c.want.ConfirmationAge ||
				in.sharedState.StoreMode != c.want.StoreMode || in.sharedState.ServersPosition != c.want.ServersPosition || len(in.sharedState.Loads) != len(c.want.Loads) {
				t.Errorf("got %+v of %q, want %+v", in.sharedState, in.From, c.want)
			}
		})
	}
}

// Guards against accepting a datagram without a sender or state, and against errors other than
// ErrMalformed for arbitrary bytes.
func TestDecodeRejectsMalformedDatagrams(t *testing.T) {
	empty := cbor.RawMessage(mustMarshal(t, map[int]any{}))
	cases := map[string][]byte{
		"empty":            nil,
		"text":             []byte("GET / HTTP/1.1"),
		"no sender":        mustMarshal(t, map[int]any{2: 1, 7: empty}),
		"no state":         mustMarshal(t, map[int]any{1: "edge-1"}),
		"number as sender": mustMarshal(t, map[int]any{1: 5, 7: empty}),
		"text as state":    mustMarshal(t, map[int]any{1: "edge-1", 7: "state"}),
		"number as loads":  mustMarshal(t, map[int]any{1: "edge-1", 7: cbor.RawMessage(mustMarshal(t, map[int]any{5: 3}))}),
		"array as message": mustMarshal(t, []any{"edge-1", 1, 2, 3, 4, 5, []any{}}),
	}
	for name, datagram := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := decode(datagram); !errors.Is(err, ErrMalformed) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against a NaN or infinite count in one datagram, which would stay in the sums over all
// gateways for good. An unknown urgency level counts as the least urgent one.
func TestInvalidOfferCountsAreIgnored(t *testing.T) {
	packed := offerCounts{Levels: []levelOffers{{Urgency: 1, Offered: float32(math.NaN())}, {Urgency: 1, Offered: float32(math.Inf(1))}, {Urgency: 1, Offered: -1}, {Urgency: 200, Offered: 3, NoSlot: 2}}}
	counts := packed.unpack()
	if last := counts[len(counts)-1]; counts[1].Offered != 0 || last.Offered != 3 || last.NoSlot != 2 {
		t.Errorf("got %+v", counts)
	}
}

// FuzzDatagram checks that any input is either decoded or rejected with ErrMalformed, and that
// decoded values stay within bounds.
func FuzzDatagram(f *testing.F) {
	state := cbor.RawMessage(mustMarshal(f, map[int]any{1: 7, 5: []serverLoad{{Server: 1, Running: 2, Pending: []pendingWork{{Urgency: 9, Requests: 1, Tokens: 5}}}}, 6: []offerCounts{{Service: 1, Levels: []levelOffers{{Urgency: 200, Offered: 1}}}}, 8: []ttftSample{{Urgency: 77}}, 9: []longestPause{{Urgency: 77}}, 18: []eventInterval{{Service: 1, Server: 2, IntervalMicros: 1 << 31}}, 11: []suspicion{{Fingerprint: 7, ClearedAge: 1, Crashes: []crash{{Instance: 3, Age: 1 << 31}}}}, 12: []serverLimit{{Instance: 1, Rate: 2, Age: 3, SentRequests: 4}}, 19: 1 << 15, 20: []pauseCounts{{Service: 1, Urgency: 200, Late: 1 << 31, OnTime: 1}}, 15: []segmentSuspicion{{Segment: 7, ClearedAge: 1, Crashes: []segmentCrash{{Instance: 3, Age: 1 << 31, Ran: 1 << 31}}}}}))
	f.Add(mustMarshal(f, map[int]any{1: "edge-1", 2: 1, 3: 1, 4: 1, 7: state}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		in, err := decode(datagram)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("got %v", err)
			}
			return
		}
		unpackPrefixUses(in.PrefixUses)
		unpackSuspicions(time.Now(), in.Suspicions, in.SegmentSuspicions)
		unpackLimits(time.Now(), in.Limits)
		for _, p := range unpackPauses(in.Pauses) {
			checkUrgency(t, p.Urgency)
		}
		for _, f := range unpackTTFTSamples(in.FirstTokens) {
			checkUrgency(t, f.Urgency)
		}
		for _, e := range unpackEventIntervals(in.EventIntervals) {
			if e.Interval < 0 {
				t.Errorf("interval %v", e.Interval)
			}
		}
		for _, c := range unpackPauseCounts(in.PauseCounts) {
			checkUrgency(t, c.Urgency)
			if c.Late < 0 || c.OnTime < 0 || c.Late > maxCountedStreams || c.OnTime > maxCountedStreams {
				t.Errorf("pause counts %+v", c)
			}
		}
		table := newTable()
		table.update(time.Now(), "127.0.0.1:1", in)
		table.expire(time.Now().Add(2 * peerTimeout))
		for server, counts := range table.loadSums {
			t.Errorf("counts %+v at server %d remain after the peer expired", counts, server)
		}
	})
}

func checkUrgency(t *testing.T, urgency int) {
	t.Helper()
	if urgency < 0 || urgency >= policy.UrgencyLevels {
		t.Errorf("urgency %d", urgency)
	}
}
