package peers

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/policy"
)

func encode(t testing.TB, what any) []byte {
	t.Helper()
	encoded, err := cbor.Marshal(what)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// While a release is rolled out, gateways of it and of the one before hear each other.
func TestDatagramsOfOtherReleases(t *testing.T) {
	known := map[int]any{1: uint64(7), 2: uint64(30), 3: asking, 4: uint64(9), 5: []load{{Server: 1, Running: 2}}}
	later := map[int]any{1: uint64(7), 5: []load{{Server: 1, Running: 2}}, 90: "later", 91: []any{1, map[string]any{"a": 2}}}
	head := map[int]any{1: "edge-1", 2: uint64(3), 3: uint64(4), 4: uint64(5)}
	cases := map[string]struct {
		head, state map[int]any
		want        state
	}{
		"this one":              {head, known, state{Version: 7, ProofAge: 30, Follows: asking, Servers: 9, Loads: []load{{Server: 1, Running: 2}}}},
		"with fields more":      {map[int]any{1: "edge-1", 2: uint64(3), 3: uint64(4), 4: uint64(5), 40: "later"}, later, state{Version: 7, Loads: []load{{Server: 1, Running: 2}}}},
		"without most of them":  {map[int]any{1: "edge-1"}, map[int]any{}, state{}},
		"who follows otherwise": {head, map[int]any{3: 77}, state{Follows: 77}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.head[7] = cbor.RawMessage(encode(t, c.state))
			in, err := decode(encode(t, c.head))
			if err != nil {
				t.Fatal(err)
			}
			if in.From != "edge-1" || in.state.Version != c.want.Version || in.state.ProofAge != c.want.ProofAge ||
				in.state.Follows != c.want.Follows || in.state.Servers != c.want.Servers || len(in.state.Loads) != len(c.want.Loads) {
				t.Errorf("got %+v of %q, want %+v", in.state, in.From, c.want)
			}
		})
	}
}

func TestDatagramsThatAreNone(t *testing.T) {
	empty := cbor.RawMessage(encode(t, map[int]any{}))
	cases := map[string][]byte{
		"nothing":            nil,
		"text":               []byte("GET / HTTP/1.1"),
		"no sender":          encode(t, map[int]any{2: 1, 7: empty}),
		"no state":           encode(t, map[int]any{1: "edge-1"}),
		"a name as a number": encode(t, map[int]any{1: 5, 7: empty}),
		"a state as text":    encode(t, map[int]any{1: "edge-1", 7: "state"}),
		"loads as a number":  encode(t, map[int]any{1: "edge-1", 7: cbor.RawMessage(encode(t, map[int]any{5: 3}))}),
		"fields in a row":    encode(t, []any{"edge-1", 1, 2, 3, 4, 5, []any{}}),
	}
	for name, datagram := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := decode(datagram); !errors.Is(err, ErrForm) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestShortagesThatAreNoCountsAreLeftOut(t *testing.T) {
	s := shortage{Levels: []lack{{Urgency: 1, Offered: float32(math.NaN())}, {Urgency: 1, Offered: float32(math.Inf(1))}, {Urgency: 1, Offered: -1}, {Urgency: 200, Offered: 3, Lacked: 2}}}
	counts := s.counts()
	if last := counts[len(counts)-1]; counts[1].Offered != 0 || last.Offered != 3 || last.Lacked != 2 {
		t.Errorf("got %+v", counts)
	}
}

// FuzzDatagram: whatever comes is refused or taken, and what is told on stays in bounds.
func FuzzDatagram(f *testing.F) {
	state := cbor.RawMessage(encode(f, map[int]any{1: 7, 5: []load{{Server: 1, Running: 2, Pending: []pending{{Urgency: 9, Requests: 1, Tokens: 5}}}}, 6: []shortage{{Service: 1, Levels: []lack{{Urgency: 200, Offered: 1}}}}, 8: []first{{Urgency: 77}}, 9: []longestPause{{Urgency: 77}}, 11: []suspicion{{Fingerprint: 7, Cleared: 1, Crashes: []crash{{Start: 3, Age: 1 << 31}}}}, 12: []limit{{Server: 1, Rate: 2, Age: 3, Sent: 4}}}))
	f.Add(encode(f, map[int]any{1: "edge-1", 2: 1, 3: 1, 4: 1, 7: state}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		in, err := decode(datagram)
		if err != nil {
			if !errors.Is(err, ErrForm) {
				t.Errorf("got %v", err)
			}
			return
		}
		unpackUses(in.Uses)
		unpackSuspicions(time.Now(), in.Suspicions)
		unpackLimits(time.Now(), in.Limits)
		for _, p := range unpackPauses(in.Pauses) {
			checkUrgency(t, p.Urgency)
		}
		for _, f := range unpackFirsts(in.Firsts) {
			checkUrgency(t, f.Urgency)
		}
		known := newTable()
		known.take(time.Now(), "127.0.0.1:1", in)
		known.expire(time.Now().Add(2 * silentAfter))
		for server, counts := range known.sums {
			t.Errorf("%+v are left at server %d of a gateway that fell silent", counts, server)
		}
	})
}

func checkUrgency(t *testing.T, urgency int) {
	t.Helper()
	if urgency < 0 || urgency >= policy.UrgencyLevels {
		t.Errorf("urgency %d", urgency)
	}
}
