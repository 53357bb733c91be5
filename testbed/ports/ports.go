// Package ports gives out addresses on 127.0.0.1 for what tests start. Start
// reading at Free and For.
package ports

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/go-faster/errors"
)

// Ports are taken from below the range that Linux gives to outgoing connections
// and to listeners that ask for any port, since one found free there may be
// taken a moment later.
const (
	firstPort = 12000
	lastPort  = 32000
	// blockSize is how many ports a test process reserves: enough for thirty
	// fleets before a port is given out again.
	blockSize  = 400
	blockCount = (lastPort - firstPort) / blockSize
	// loopback is the only host that tests listen on.
	loopback = "127.0.0.1"
)

// own are the ports of this process. Test processes run side by side, and
// one that only looked whether a port is free could lose it to another before
// its own program listens there. A block therefore belongs to the process
// that listens on the block's first port.
var own = portBlock{taken: map[string]bool{}}

// portBlock gives out the ports of one block in turn.
type portBlock struct {
	mu sync.Mutex
	// owner is kept open as long as the process runs.
	owner net.Listener
	first int
	given int
	taken map[string]bool
}

// Free returns a host:port on 127.0.0.1 that nothing listens on. It is not given
// out again before Release: a process that was killed must find its
// port free when it starts again.
func Free() (string, error) {
	own.mu.Lock()
	defer own.mu.Unlock()
	if err := own.reserve(); err != nil {
		return "", err
	}
	for range blockSize {
		own.given = own.given%(blockSize-1) + 1
		addr := localAddr(own.first + own.given)
		if own.taken[addr] {
			continue
		}
		if listener, err := net.Listen("tcp", addr); err == nil {
			own.taken[addr] = true
			return addr, listener.Close()
		}
	}
	return "", errors.New("no free port on 127.0.0.1")
}

// For returns an address that is the test's until its end.
func For(t testing.TB) string {
	t.Helper()
	addr, err := Free()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { Release(addr) })
	return addr
}

// Release lets addresses be given out again.
func Release(addrs ...string) {
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, addr := range addrs {
		delete(own.taken, addr)
	}
}

// reserve takes a block unless there is one. Called with mu held.
func (p *portBlock) reserve() error {
	for i := 0; p.owner == nil && i < blockCount; i++ {
		first := firstPort + (os.Getpid()+i)%blockCount*blockSize
		if owner, err := net.Listen("tcp", localAddr(first)); err == nil {
			p.owner, p.first = owner, first
		}
	}
	if p.owner == nil {
		return errors.New("all blocks of ports are taken")
	}
	return nil
}

func localAddr(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }
