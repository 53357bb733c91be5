// Package ports allocates addresses on 127.0.0.1 for processes and servers that
// tests start. Reserve and ReserveForTest are the main functions.
package ports

import (
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
)

// Ports are allocated below Linux's ephemeral range, which serves outgoing
// connections and listeners on port 0: a port found free there may be in use a
// moment later.
const (
	firstPort = 12000
	lastPort  = 32000
	// blockSize is the number of ports that a test process reserves: enough
	// for thirty fleets before a port is reused.
	blockSize  = 400
	blockCount = (lastPort - firstPort) / blockSize
	// loopback is the host of all allocated addresses.
	loopback = "127.0.0.1"
)

// loopbackIPv4 is loopback as bytes.
var loopbackIPv4 = [4]byte{127, 0, 0, 1}

// processBlock is the port block of this process. Test processes run concurrently, and a
// port that one of them found free could be taken by another before the program under
// test listens on it. Therefore each process reserves a block by listening on
// the block's first port.
var processBlock = portBlock{reserved: map[string]bool{}}

// portBlock allocates the ports of one block round-robin.
type portBlock struct {
	mu sync.Mutex
	// owner listens on the block's first port and stays open until the process exits.
	owner      net.Listener
	first      int
	lastOffset int
	reserved   map[string]bool
}

// Reserve returns a host:port on 127.0.0.1 that nothing listens on. The address
// stays reserved until Release, so that a killed process finds its port free
// when it restarts. It returns an error if no port is free.
func Reserve() (string, error) {
	processBlock.mu.Lock()
	defer processBlock.mu.Unlock()
	if err := processBlock.acquire(); err != nil {
		return "", err
	}
	for range blockSize {
		processBlock.lastOffset = processBlock.lastOffset%(blockSize-1) + 1
		port := processBlock.first + processBlock.lastOffset
		addr := loopbackAddr(port)
		if processBlock.reserved[addr] {
			continue
		}
		free, err := isFree(port)
		if err != nil {
			return "", err
		}
		if free {
			processBlock.reserved[addr] = true
			return addr, nil
		}
	}
	return "", errors.New("no free port on 127.0.0.1")
}

// isFree reports whether a process can listen on a port of loopback. It binds a
// socket and doesn't listen on it: between fork and exec a new process holds
// copies of this process's sockets, and the port of a listener would be in use
// until then.
func isFree(port int) (bool, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return false, errors.Wrap(err, "open socket")
	}
	// As listeners do, so that only a listener is in the way.
	err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(socket, &syscall.SockaddrInet4{Port: port, Addr: loopbackIPv4})
	}
	if closeErr := syscall.Close(socket); closeErr != nil {
		return false, errors.Wrap(closeErr, "close socket")
	}
	if errors.Is(err, syscall.EADDRINUSE) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "bind socket")
	}
	return true, nil
}

// ReserveForTest returns an address that is reserved until the test ends. It fails the
// test if none is free.
func ReserveForTest(t testing.TB) string {
	t.Helper()
	addr, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { Release(addr) })
	return addr
}

// Release makes addresses available to Reserve again.
func Release(addrs ...string) {
	processBlock.mu.Lock()
	defer processBlock.mu.Unlock()
	for _, addr := range addrs {
		delete(processBlock.reserved, addr)
	}
}

// acquire reserves a block unless the process has one. The caller holds mu.
func (p *portBlock) acquire() error {
	for i := 0; p.owner == nil && i < blockCount; i++ {
		first := firstPort + (os.Getpid()+i)%blockCount*blockSize
		if owner, err := net.Listen("tcp", loopbackAddr(first)); err == nil {
			p.owner, p.first = owner, first
		}
	}
	if p.owner == nil {
		return errors.New("all port blocks are in use")
	}
	return nil
}

func loopbackAddr(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }
