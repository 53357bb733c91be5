package listen

import (
	"net"
	"testing"
)

// If one address is in use, the listener on the other must not stay open.
func TestAllClosesListenersOnFailure(t *testing.T) {
	listeners, err := All("127.0.0.1:0", "127.0.0.1:0")
	if err != nil || len(listeners) != 2 {
		t.Fatalf("%v, %v", listeners, err)
	}
	defer closeAll(listeners)
	freedAddr := listeners[0].Addr().String()
	if err := listeners[0].Close(); err != nil {
		t.Fatal(err)
	}
	if got, err := All(freedAddr, listeners[1].Addr().String()); err == nil {
		t.Fatalf("All succeeded with an address in use: %v", got)
	}
	relistened, err := net.Listen("tcp", freedAddr)
	if err != nil {
		t.Fatalf("listener on the free address was not closed: %v", err)
	}
	_ = relistened.Close()
}
