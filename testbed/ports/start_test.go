package ports_test

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"github.com/applepier/applepier/testbed/ports"
)

const (
	// starters is the number of goroutines that start processes all the time.
	starters = 4
	// reservations is the number of ports that are reserved meanwhile.
	reservations = 2000
)

// Guards against an address that is still in use by a process that is being started: between fork and exec
// it holds copies of all sockets of this process.
func TestReservedAddressIsFreeWhileProcessesStart(t *testing.T) {
	done := make(chan struct{})
	var starting sync.WaitGroup
	for range starters {
		starting.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	inUse := 0
	for range reservations {
		addr, err := ports.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		if listener, err := net.Listen("tcp", addr); err != nil {
			inUse++
		} else if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		ports.Release(addr)
	}
	close(done)
	starting.Wait()
	if inUse > 0 {
		t.Errorf("%d of %d reserved addresses were in use", inUse, reservations)
	}
}
