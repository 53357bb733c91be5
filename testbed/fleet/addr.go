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
	// portStride spaces the first port of test processes that run side by
	// side.
	portStride = 97
)

var portCursor = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}

// freeAddr returns a host:port on 127.0.0.1 that nothing listens on and that
// this process has not given out lately.
func freeAddr() (string, error) {
	portCursor.Lock()
	defer portCursor.Unlock()
	for range lastPort - firstPort {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(portCursor.next))
		portCursor.next++
		if portCursor.next >= lastPort {
			portCursor.next = firstPort
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", errors.Wrap(err, "release port")
		}
		return addr, nil
	}
	return "", errors.New("no free port on 127.0.0.1")
}
