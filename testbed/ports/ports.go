package fleet

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// Ports are taken from below the range that Linux gives to outgoing
// connections, since a port found free there may be taken a moment later.
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

// ports are the ports of this process. Test processes run side by side, and
// one that only looked whether a port is free could lose it to another before
// its own program listens there. A block therefore belongs to the process
// that listens on the block's first port.
var ports = portBlock{taken: map[string]bool{}}

// portBlock gives out the ports of one block in turn.
type portBlock struct {
	mu sync.Mutex
	// owner is kept open as long as the process runs.
	owner net.Listener
	first int
	given int
	taken map[string]bool
}

// freeAddr returns a host:port on 127.0.0.1 that nothing listens on. It is not
// given out again before releaseAddrs: a process that was killed must find its
// port free when it starts again.
func freeAddr() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if err := ports.reserve(); err != nil {
		return "", err
	}
	for range blockSize {
		ports.given = ports.given%(blockSize-1) + 1
		addr := localAddr(ports.first + ports.given)
		if ports.taken[addr] {
			continue
		}
		if listener, err := net.Listen("tcp", addr); err == nil {
			ports.taken[addr] = true
			return addr, listener.Close()
		}
	}
	return "", errors.New("no free port on 127.0.0.1")
}

// releaseAddrs lets addresses be given out again.
func releaseAddrs(addrs []string) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for _, addr := range addrs {
		delete(ports.taken, addr)
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
