package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/applepier/applepier/internal/storage"
	standin "github.com/applepier/applepier/testbed/platform"
)

// targetVMs is the length of the VM list at the target size: 410 entries and 1,200 engines.
const targetVMs = 1610

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, &l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkVMListRead measures reading an unchanged VM list. wire-B is the number
// of bytes in both directions, headers included; times cover HTTP client and server.
func BenchmarkVMListRead(b *testing.B) {
	httpServer := httptest.NewUnstartedServer(standin.New())
	counter := &countingListener{Listener: httpServer.Listener}
	httpServer.Listener = counter
	httpServer.Start()
	b.Cleanup(httpServer.Close)
	f := &fixture{t: b, httpServer: httpServer}
	for i := range targetVMs {
		path := fmt.Sprintf("/vms/backend-%04d", i)
		f.sendControl(http.MethodPut, path, fmt.Sprintf(`{"addr":"10.0.%d.%d:8090","zone":"zone-%02d","role":"backend","serves":"model-%02d"}`, i/256, i%256, i%12, i%12))
	}
	client := storage.NewHTTPClient(httpServer.URL)
	read := func() {
		if vms, err := client.VMs(context.Background()); err != nil || len(vms) != targetVMs {
			b.Fatalf("%d VMs, error %v", len(vms), err)
		}
	}
	read()
	before := counter.bytes.Load()
	for b.Loop() {
		read()
	}
	b.ReportMetric(float64(counter.bytes.Load()-before)/float64(b.N), "wire-B")
}
