// Package listen opens several listeners or none. Start reading at All.
package listen

import "net"

// All listens on TCP at each address, host:port. If one of them can't be
// listened at, the others are closed again.
func All(addrs ...string) ([]net.Listener, error) {
	var all []net.Listener
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			closeAll(all)
			return nil, err
		}
		all = append(all, l)
	}
	return all, nil
}

func closeAll(all []net.Listener) {
	for _, l := range all {
		// It has taken nothing; there is nothing to be lost by an error.
		_ = l.Close()
	}
}
