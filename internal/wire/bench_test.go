package wire

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/timeline"
)

const (
	benchRequestID = "AZPx8no7fG2On6-rLD1OXw"
	benchGrantID   = "AZPx8no7fG2On6-rLD1OYA-12345"
	// benchClasses and benchCustomers are the numbers of classes and customers at the
	// system's target size.
	benchClasses   = 60
	benchCustomers = 400
)

// benchMessages returns the messages of one request's life cycle, with values of usual
// length.
func benchMessages() map[string]Message {
	stamp := timeline.Timestamp{Wall: 1_764_000_000_000_000_000, Logical: 3}
	status := &Status{Waiting: 12, Running: 8, Limit: 16}
	messages := map[string]Message{
		"ticket": {Ticket: &Ticket{
			RequestID: benchRequestID, Attempt: 1, Class: "hazard-flag", Tier: 0, Customer: "customer-042",
			SlackMS: 850, Size: 1200, PrefixHash: 0x9e3779b97f4a7c15, Copies: 2, Serves: "model-07",
		}},
		"withdraw":    {Withdraw: &Withdraw{RequestID: benchRequestID, Attempt: 1}},
		"grant":       {Grant: &Grant{RequestID: benchRequestID, Attempt: 1, ID: benchGrantID}, Status: status},
		"refuse":      {Refuse: &Refuse{RequestID: benchRequestID, Attempt: 1, Reason: ReasonOverload, RetryAfterMS: 2500}, Status: status},
		"ping":        {Ping: &Ping{Seq: 100_000}},
		"status":      {Status: &Status{Seq: 100_000, Waiting: 12, Running: 8, Limit: 16}},
		"version":     {},
		"get_targets": {GetTargets: &GetTargets{}},
		"target_set":  {TargetSet: benchTargetSet()},
	}
	for name, m := range messages {
		m.Stamp = stamp
		m.TargetsVersion = 1000
		messages[name] = m
	}
	return messages
}

func benchTargetSet() *targets.Set {
	set := &targets.Set{Version: 1000}
	for i := range benchClasses {
		set.Classes = append(set.Classes, targets.Class{
			Name: fmt.Sprintf("class-%02d", i), Tier: i % (targets.MaxTier + 1), Model: fmt.Sprintf("model-%02d", i%12),
			FirstToken: 850 * time.Millisecond, BetweenTokens: 26 * time.Millisecond, Completion: time.Minute,
		})
	}
	for i := range benchCustomers {
		set.Customers = append(set.Customers, targets.Customer{Name: fmt.Sprintf("customer-%03d", i), KeyHash: fmt.Sprintf("%064x", i)})
	}
	return set
}

// BenchmarkCodec encodes and decodes one message; wire-B is its encoded size in bytes.
func BenchmarkCodec(b *testing.B) {
	for name, message := range benchMessages() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := cbor.Marshal(message)
				if err != nil {
					b.Fatal(err)
				}
				var decoded Message
				if err := cbor.Unmarshal(data, &decoded); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}

// BenchmarkConn sends a ticket and waits for its grant over a control connection on
// loopback. cpu-ns/op is the CPU time of both ends for the two messages; ns/op also
// includes the wait for the other end.
func BenchmarkConn(b *testing.B) {
	clock := &timeline.Clock{}
	config := Config{Clock: clock, TargetsVersion: func() uint64 { return 1000 }, Traffic: metrics.New().Control}
	messages := benchMessages()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := Accept(w, r, config)
		if err != nil {
			return
		}
		defer conn.Close()
		for {
			if _, err := conn.Receive(context.Background()); err != nil {
				return
			}
			if err := conn.Send(messages["grant"]); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	conn, err := Dial(b.Context(), strings.TrimPrefix(server.URL, "http://"), "", config)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	b.ReportAllocs()
	before := cpuTime(b)
	for b.Loop() {
		if err := conn.Send(messages["ticket"]); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Receive(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// BenchmarkConnMemory opens one connection per iteration and reports the memory held by
// both of its ends. Run it with a fixed count, such as -benchtime 300x.
func BenchmarkConnMemory(b *testing.B) {
	config := Config{Clock: &timeline.Clock{}, TargetsVersion: func() uint64 { return 1000 }, Traffic: metrics.New().Control}
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := Accept(w, r, config)
		if err != nil {
			return
		}
		defer conn.Close()
		<-done
	}))
	defer server.Close()
	defer close(done)
	before := liveMemory()
	var conns []*Conn
	for range b.N {
		conn, err := Dial(b.Context(), strings.TrimPrefix(server.URL, "http://"), "", config)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	b.ReportMetric(float64(liveMemory()-before)/float64(len(conns)), "B/conn")
}

// liveMemory returns the bytes used by the heap and stacks after a garbage collection.
func liveMemory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// cpuTime returns the process's CPU time, user and system.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFrame encodes and decodes the frame of one token.
func BenchmarkFrame(b *testing.B) {
	chunk := `{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1764000000,"model":"assistant",` +
		`"choices":[{"index":0,"delta":{"content":" manhole"},"finish_reason":null}]}`
	frame := Frame{Kind: FrameData, Data: []byte(chunk), Tokens: 1}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		data, err := cbor.Marshal(frame)
		if err != nil {
			b.Fatal(err)
		}
		var decoded Frame
		if err := cbor.Unmarshal(data, &decoded); err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "wire-B")
}
