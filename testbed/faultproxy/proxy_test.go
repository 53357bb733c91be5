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

// testTimeout bounds steps that normally complete immediately; it allows for a busy machine.
const testTimeout = 20 * time.Second

// blackholeCheck is how long a blackholed connection is checked for data.
const blackholeCheck = 200 * time.Millisecond

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

func checkEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, "hello\n"); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || line != "hello\n" {
		t.Fatalf("echo: %q, %v", line, err)
	}
}

// checkBlackholed sends a line and checks that neither data nor an end of the connection arrives.
func checkBlackholed(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetDeadline(time.Now().Add(blackholeCheck))
	io.WriteString(conn, "hello\n")
	n, err := conn.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); n != 0 || !ok || !timeout.Timeout() {
		t.Fatalf("blackholed connection: read %d bytes, %v", n, err)
	}
}

func TestBlackholeAffectsOnlyExistingConnections(t *testing.T) {
	proxy := startEcho(t)
	old := dial(t, proxy)
	checkEcho(t, old)
	proxy.Blackhole(Upstream, Downstream)
	checkBlackholed(t, old)
	checkEcho(t, dial(t, proxy))
	checkBlackholed(t, old)
}

func TestCloseConnectionsKeepsProxyOpen(t *testing.T) {
	proxy := startEcho(t)
	blackholed := dial(t, proxy)
	checkEcho(t, blackholed)
	proxy.Blackhole(Upstream, Downstream)
	old := dial(t, proxy)
	checkEcho(t, old)
	if err := proxy.CloseConnections(); err != nil {
		t.Fatal(err)
	}
	for _, conn := range []net.Conn{blackholed, old} {
		conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatal("read data from a closed connection")
		}
	}
	checkEcho(t, dial(t, proxy))
}

func TestRefuseUntilAccept(t *testing.T) {
	proxy := startEcho(t)
	proxy.Refuse()
	if conn, err := net.Dial("tcp", proxy.Addr()); err == nil {
		conn.Close()
		t.Fatal("connected to a proxy that refuses connections")
	}
	if err := proxy.Accept(); err != nil {
		t.Fatal(err)
	}
	checkEcho(t, dial(t, proxy))
}

func TestDelayKeepsOrder(t *testing.T) {
	proxy := startEcho(t)
	conn := dial(t, proxy)
	checkEcho(t, conn)
	proxy.Delay(20*time.Millisecond, 40*time.Millisecond)
	start := time.Now()
	for range 3 {
		checkEcho(t, conn)
	}
	// Both directions are delayed. There is no upper bound, since the machine may be busy.
	if took := time.Since(start); took < 3*2*20*time.Millisecond {
		t.Fatalf("three exchanges took %s", took)
	}
}

func TestHoldBlocksMessage(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
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

	hold := proxy.Hold(Upstream, Nth(2, IsTicket))
	for _, request := range []string{"a", "b"} {
		data, err := cbor.Marshal(wire.Message{Ticket: &wire.Ticket{RequestID: request}})
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
	event, err := hold.Wait(ctx)
	if err != nil || event.Message.Ticket.RequestID != "b" {
		t.Fatalf("held %+v, %v", event, err)
	}
	select {
	case message := <-got:
		t.Fatalf("a held message was forwarded: %+v", message)
	default:
	}
	hold.Release()
	if message := <-got; message.Ticket.RequestID != "b" {
		t.Fatalf("after release: %+v", message)
	}
}

func TestResponseFramesAreParsed(t *testing.T) {
	parser := eventParser{direction: Downstream}
	frames := []wire.Frame{
		{Kind: wire.FrameData, Data: []byte("{}"), Tokens: 1},
		{Kind: wire.FrameHeartbeat},
		{Kind: wire.FrameEnd},
		{Kind: wire.FrameFail, Fail: wire.FailInterrupted},
	}
	kinds := []EventKind{EventData, 0, EventEnd, EventFail}
	parser.parse([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	for i, frame := range frames {
		data, err := cbor.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		events := parser.parse(data)
		if (kinds[i] == 0) != (len(events) == 0) || (len(events) > 0 && events[0].Kind != kinds[i]) {
			t.Fatalf("frame %d: got events %+v", i, events)
		}
	}
}
