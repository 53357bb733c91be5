package faultproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/applepier/applepier/internal/wire"
)

// generous bounds what must happen at once, on a busy machine.
const generous = 20 * time.Second

// quiet is how long a silent connection is watched.
const quiet = 200 * time.Millisecond

func startEcho(t *testing.T) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	return startProxy(t, listener.Addr().String())
}

func startProxy(t *testing.T, upstream string) *Proxy {
	t.Helper()
	proxy, err := New(t.Name(), upstream)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

func dial(t *testing.T, proxy *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func exchange(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetDeadline(time.Now().Add(generous))
	if _, err := io.WriteString(conn, "hello\n"); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || line != "hello\n" {
		t.Fatalf("echo: %q, %v", line, err)
	}
}

// mustStaySilent sends and checks that nothing comes, not even an end.
func mustStaySilent(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetDeadline(time.Now().Add(quiet))
	io.WriteString(conn, "hello\n")
	n, err := conn.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); n != 0 || !ok || !timeout.Timeout() {
		t.Fatalf("silent connection: read %d bytes, %v", n, err)
	}
}

func TestSilenceHitsOnlyConnectionsThatExist(t *testing.T) {
	proxy := startEcho(t)
	old := dial(t, proxy)
	exchange(t, old)
	proxy.Silence(Upstream, Downstream)
	mustStaySilent(t, old)
	exchange(t, dial(t, proxy))
	mustStaySilent(t, old)
}

func TestCutClosesAndNewConnectionsWork(t *testing.T) {
	proxy := startEcho(t)
	silent := dial(t, proxy)
	exchange(t, silent)
	proxy.Silence(Upstream, Downstream)
	old := dial(t, proxy)
	exchange(t, old)
	if err := proxy.Cut(); err != nil {
		t.Fatal(err)
	}
	for _, conn := range []net.Conn{silent, old} {
		conn.SetDeadline(time.Now().Add(generous))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatal("a cut connection gave data")
		}
	}
	exchange(t, dial(t, proxy))
}

func TestRefuseUntilAccept(t *testing.T) {
	proxy := startEcho(t)
	proxy.Refuse()
	if conn, err := net.Dial("tcp", proxy.Addr()); err == nil {
		conn.Close()
		t.Fatal("connected to a proxy that refuses")
	}
	if err := proxy.Accept(); err != nil {
		t.Fatal(err)
	}
	exchange(t, dial(t, proxy))
}

func TestDelayKeepsOrder(t *testing.T) {
	proxy := startEcho(t)
	conn := dial(t, proxy)
	exchange(t, conn)
	proxy.Delay(20*time.Millisecond, 40*time.Millisecond)
	start := time.Now()
	for range 3 {
		exchange(t, conn)
	}
	// Both directions are delayed; no upper bound, the machine may be busy.
	if took := time.Since(start); took < 3*2*20*time.Millisecond {
		t.Fatalf("three exchanges took %s", took)
	}
}

func TestHoldStopsAtMessage(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), generous)
	defer cancel()
	got := make(chan wire.Message, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		for {
			_, data, err := conn.Read(r.Context())
			if err != nil {
				return
			}
			var message wire.Message
			cbor.Unmarshal(data, &message)
			got <- message
		}
	}))
	defer server.Close()
	proxy := startProxy(t, server.Listener.Addr().String())
	conn, _, err := websocket.Dial(ctx, "ws://"+proxy.Addr()+wire.ConnectPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.CloseNow()

	hold := proxy.Hold(Upstream, Nth(2, Ticket))
	for _, request := range []string{"a", "b"} {
		data, err := cbor.Marshal(wire.Message{Ticket: &wire.Ticket{Request: request}})
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
			t.Fatal(err)
		}
		if request == "a" {
			<-got
		}
	}
	sight, err := hold.Wait(ctx)
	if err != nil || sight.Message.Ticket.Request != "b" {
		t.Fatalf("held %+v, %v", sight, err)
	}
	select {
	case message := <-got:
		t.Fatalf("a held message passed: %+v", message)
	default:
	}
	hold.Release()
	if message := <-got; message.Ticket.Request != "b" {
		t.Fatalf("after release: %+v", message)
	}
}

func TestAnswerFramesAreSeen(t *testing.T) {
	r := reader{direction: Downstream}
	frames := []wire.Frame{
		{Kind: wire.FrameData, Data: []byte("{}"), Tokens: 1},
		{Kind: wire.FrameHeartbeat},
		{Kind: wire.FrameEnd},
		{Kind: wire.FrameFail, Fail: wire.FailCut},
	}
	kinds := []SightKind{SightData, 0, SightEnd, SightFail}
	r.read([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	for i, frame := range frames {
		data, err := cbor.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		sights := r.read(data)
		if (kinds[i] == 0) != (len(sights) == 0) || (len(sights) > 0 && sights[0].Kind != kinds[i]) {
			t.Fatalf("frame %d: saw %+v", i, sights)
		}
	}
}
