package origin

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/policy"
)

// Guards against a record that is too large: at 410 gateways and 3,600 streams a second, each gateway
// sends and receives 26 records a second, as a part of the three kilobytes a second for control.
func TestRecordSize(t *testing.T) {
	const (
		maxBytes  = 28
		headers   = 28 // IPv4 and UDP
		perSecond = 3600.0 / 410 * 3
	)
	m := message{Kind: kindRecord, Stream: 1<<64 - 1, Service: 1<<32 - 1, Version: 1<<32 - 1, Seconds: 120}
	size := len(m.encode())
	t.Logf("%d bytes, with headers %.0f bytes per second and direction at 410 gateways", size, float64(size+headers)*perSecond)
	if size > maxBytes {
		t.Errorf("%d bytes, want at most %d", size, maxBytes)
	}
}

// During a rolling update, gateways of two releases must decode each other's messages, and ignore
// kinds that they don't know.
func TestDecodeMessagesOfOtherReleases(t *testing.T) {
	marshal := func(elements ...any) []byte {
		encoded, err := cbor.Marshal(elements)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	valid := map[string][]byte{
		"same release":        marshal(1, 7, 8, 9, 10),
		"additional elements": marshal(1, 7, 8, 9, 10, "later", []any{1}),
		"unknown kind":        marshal(200, 7, 8, 9, 10),
	}
	for name, datagram := range valid {
		m, err := decodeMessage(datagram)
		if err != nil || m.Stream != 7 || m.Service != 8 || m.Version != 9 || m.Seconds != 10 {
			t.Errorf("%s: got %+v, %v", name, m, err)
		}
	}
	d := New(Config{TTL: func() time.Duration { return time.Minute }})
	if err := d.Handle("127.0.0.1:1", valid["unknown kind"]); err != nil || d.Len() != 0 {
		t.Errorf("unknown kind: %v, %d records", err, d.Len())
	}
	for name, datagram := range map[string][]byte{
		"empty": nil, "too few elements": marshal(1, 7, 8, 9), "text": marshal("1", 7, 8, 9, 10), "map": {0xa0},
		"negative": marshal(1, -7, 8, 9, 10), "too large": marshal(1, 7, 8, 1<<40, 10), "truncated": valid["same release"][:4],
	} {
		if _, err := decodeMessage(datagram); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// FuzzMessage checks that any datagram is either processed or rejected with ErrMalformed.
func FuzzMessage(f *testing.F) {
	for kind := range messageKind(7) {
		f.Add((&message{Kind: kind, Stream: 1, Service: 2, Version: 3, Seconds: 4}).encode())
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m, err := decodeMessage(datagram)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("got %v", err)
			}
			return
		}
		if again, err := decodeMessage(m.encode()); err != nil || again != m {
			t.Errorf("%+v decodes to %+v, %v", m, again, err)
		}
	})
}

// Guards against records that are kept for good, and against a later record that changes the version
// of a stream of which the caller has events.
func TestRecordsExpireAndKeepTheirFirstOrigin(t *testing.T) {
	rs, now := newRecords(), time.Now()
	first, later := Origin{Service: 1, Version: 2}, Origin{Service: 1, Version: 3}
	rs.put(now, 7, first, false, time.Second)
	rs.put(now, 8, first, false, 3*time.Second)
	rs.put(now, 7, later, false, 2*time.Second)
	if r := rs.get(now.Add(1900*time.Millisecond), 7); r == nil || r.Origin != first || r.own {
		t.Errorf("got %+v", r)
	}
	if r := rs.get(now.Add(2*time.Second), 7); r != nil {
		t.Errorf("got %+v after its time", r)
	}
	if r := rs.get(now.Add(2*time.Second), 8); r == nil {
		t.Error("a record expired early")
	}
}

// Guards against records that grow without bound: the one that would expire first makes room.
func TestRecordsAreBounded(t *testing.T) {
	rs, now := newRecords(), time.Now()
	for i := range maxRecords + 10 {
		rs.put(now, Stream(i), Origin{Version: policy.Key(i)}, false, time.Minute+time.Duration(i))
	}
	if len(rs.byStream) != maxRecords || len(rs.byExpiry) != maxRecords || rs.get(now, 9) != nil || rs.get(now, 10) == nil {
		t.Errorf("%d records, in the heap %d", len(rs.byStream), len(rs.byExpiry))
	}
}
