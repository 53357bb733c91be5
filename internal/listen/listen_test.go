package listen

import (
	"net"
	"testing"
)

func TestAllOrNone(t *testing.T) {
	held, err := All("127.0.0.1:0", "127.0.0.1:0")
	if err != nil || len(held) != 2 {
		t.Fatalf("%v, %v", held, err)
	}
	defer closeAll(held)
	free := held[0].Addr().String()
	if err := held[0].Close(); err != nil {
		t.Fatal(err)
	}
	if got, err := All(free, held[1].Addr().String()); err == nil {
		t.Fatalf("%v listen where one address is taken", got)
	}
	again, err := net.Listen("tcp", free)
	if err != nil {
		t.Fatalf("the free address is still held: %v", err)
	}
	_ = again.Close()
}
