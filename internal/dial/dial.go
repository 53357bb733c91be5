// Package dial opens connections on which silence is noticed: something
// between the two ends may lose track of a connection for good, without a
// reset, while new ones work.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeEvery and probeCount are the keep-alive probes on a connection on
	// which nothing is on its way, so that one that went silent is noticed in
	// two to three seconds while an answer is awaited.
	probeEvery = time.Second
	probeCount = 2
)

// Dialer returns a dialer whose connections take up to timeout to open, and
// count as broken when sent bytes stay unacknowledged for longer than
// unacknowledged.
func Dialer(timeout, unacknowledged time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
