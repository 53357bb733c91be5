package gateway

import (
	"io"
	"net"
	"strings"
	"time"
)

// endlessBlockBytes is the smallest size of what is written at once where bytes are sent as fast as they are
// read.
const endlessBlockBytes = 32 << 10

// Endless returns a script that sends what begin returns, and then a unit again and again, with a pause
// between, until the gateway closes the connection or a time has passed.
func Endless(begin func(*ReceivedRequest) string, unit string, pause, atMost time.Duration) Script {
	block := unit
	if pause == 0 {
		block = strings.Repeat(unit, 1+endlessBlockBytes/len(unit))
	}
	return func(c net.Conn, r *ReceivedRequest) bool {
		if _, err := io.WriteString(c, begin(r)); err != nil {
			return false
		}
		for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(pause) {
			if _, err := io.WriteString(c, block); err != nil {
				return false
			}
		}
		return false
	}
}

// BeginWith returns a function that returns a fixed text, for Endless.
func BeginWith(text string) func(*ReceivedRequest) string {
	return func(*ReceivedRequest) string { return text }
}

// BeginHead returns a function that returns a complete head, for Endless.
func BeginHead(status int, lines ...string) func(*ReceivedRequest) string {
	return func(r *ReceivedRequest) string { return ResponseHead(r, status, lines...) }
}
