// Package dial configures TCP connections so that a dead path is detected. A device
// on the path may drop the state of a connection permanently, without a reset, while
// new connections work. Start reading at NewDialer.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval and keepAliveProbes detect a dead path in two to three
	// seconds on a connection with no data in flight, such as one that waits
	// for a response.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// NewDialer returns a dialer that gives up connecting after connectTimeout. The
// kernel closes its connections if sent data stays unacknowledged for longer than
// userTimeout (TCP_USER_TIMEOUT, in whole milliseconds).
func NewDialer(connectTimeout, userTimeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}
