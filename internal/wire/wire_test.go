package wire

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/timeline"
)

func testConfig(version uint64) Config {
	return Config{Clock: &timeline.Clock{}, TargetsVersion: func() uint64 { return version }, Traffic: metrics.New().Control}
}

// connectPair returns the two ends of one connection.
func connectPair(t *testing.T) (entry, agent *Conn) {
	t.Helper()
	accepted := make(chan *Conn, 1)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := Accept(w, r, testConfig(7))
		if err != nil {
			t.Errorf("accept: %v", err)
			return
		}
		accepted <- c
		<-release
	}))
	entry, err := Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), "key", testConfig(3))
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	agent = <-accepted
	t.Cleanup(func() {
		entry.Close()
		agent.Close()
		close(release)
		server.Close()
	})
	return entry, agent
}

func TestConnCarriesMessagesWithStampAndVersion(t *testing.T) {
	entry, agent := connectPair(t)
	sent := Ticket{RequestID: "r", Attempt: 2, Class: "hazard-flag", SlackMS: -5, Copies: 3}
	if err := entry.Send(Message{Ticket: &sent}); err != nil {
		t.Fatal(err)
	}
	got, err := agent.Receive(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got.Ticket == nil || *got.Ticket != sent {
		t.Fatalf("ticket: got %+v, want %+v", got.Ticket, sent)
	}
	if got.TargetsVersion != 3 || got.Stamp.Wall == 0 {
		t.Fatalf("envelope: got version %d and stamp %+v", got.TargetsVersion, got.Stamp)
	}
}

func TestConnClosedByPeerReturnsErrClosed(t *testing.T) {
	entry, agent := connectPair(t)
	agent.CloseNow()
	if _, err := entry.Receive(context.Background()); !errors.Is(err, ErrClosed) {
		t.Fatalf("receive: got %v, want ErrClosed", err)
	}
	if err := entry.Send(Message{}); !errors.Is(err, ErrClosed) {
		t.Fatalf("send: got %v, want ErrClosed", err)
	}
}

func TestFrameReaderReturnsErrTruncatedAtEndOfStream(t *testing.T) {
	var stream bytes.Buffer
	enc := cbor.NewEncoder(&stream)
	for _, f := range []Frame{{Kind: FrameData, Data: []byte("a"), Tokens: 1}, {Kind: FrameEnd}} {
		if err := enc.Encode(f); err != nil {
			t.Fatal(err)
		}
	}
	r := NewFrameReader(&stream, func() {})
	defer r.Close()
	for _, want := range []FrameKind{FrameData, FrameEnd} {
		f, err := r.Next()
		if err != nil || f.Kind != want {
			t.Fatalf("frame: got %v, %v; want kind %d", f.Kind, err, want)
		}
	}
	if _, err := r.Next(); !errors.Is(err, ErrTruncated) {
		t.Fatalf("after the end: got %v, want ErrTruncated", err)
	}
}

func TestFrameReaderReturnsErrTruncatedForPartialFrame(t *testing.T) {
	data, err := cbor.Marshal(Frame{Kind: FrameData, Data: []byte("some text")})
	if err != nil {
		t.Fatal(err)
	}
	r := NewFrameReader(io.LimitReader(bytes.NewReader(data), int64(len(data)-1)), func() {})
	defer r.Close()
	if _, err := r.Next(); !errors.Is(err, ErrTruncated) {
		t.Fatalf("partial frame: got %v, want ErrTruncated", err)
	}
}
