// Package dial configures TCP connections so that a dead path is detected. A device
// on the path may drop the state of a connection permanently, without a reset, while
// new connections work. Start reading at NewDialer.
package dial

import (
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
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
			return controlRaw(raw, func(fd int) error { return setUserTimeout(fd, userTimeout) })
		},
	}
}

// SetUserTimeout changes the user timeout of an open connection, which NewDialer sets. It applies also to
// a peer that acknowledges what it gets, but takes no more for that long. It returns an error if the
// connection isn't one of the host's or is closed.
func SetUserTimeout(c net.Conn, userTimeout time.Duration) error {
	return control(c, func(fd int) error { return setUserTimeout(fd, userTimeout) })
}

// Unacknowledged returns the number of bytes that have been written on a connection and that its peer's
// host has not acknowledged. It returns an error if the connection isn't one of the host's or is closed.
func Unacknowledged(c net.Conn) (bytes int, err error) {
	err = control(c, func(fd int) error {
		var ioctlErr error
		bytes, ioctlErr = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return ioctlErr
	})
	return bytes, err
}

func setUserTimeout(fd int, userTimeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
}

// control calls f with the file descriptor of an open connection.
func control(c net.Conn, f func(fd int) error) error {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return errors.New("not a connection of the host's")
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return err
	}
	return controlRaw(raw, f)
}

func controlRaw(raw syscall.RawConn, f func(fd int) error) error {
	var result error
	if err := raw.Control(func(fd uintptr) { result = f(int(fd)) }); err != nil {
		return err
	}
	return result
}
