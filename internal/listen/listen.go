// Package listen opens a set of TCP listeners atomically: all or none. Start reading
// at All.
package listen

import "net"

// All opens a TCP listener on each address (host:port). If one cannot be opened, All
// closes the others and returns the error.
func All(addrs ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			closeAll(listeners)
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		// No connection has been accepted, so a close error loses nothing.
		_ = l.Close()
	}
}
