package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

// Guards against a stream that goes on at another version at gateways that are out of step: they stood still
// and lost the store while servers of a new version joined, on which streams began through a gateway that is
// gone. The callers don't name the request that began their stream, so that its record can't be found.
func TestGatewaysOutOfStepGuessNoOrigin(t *testing.T) {
	first, behind := &gateway.Child{}, []*gateway.Child{{}, {}}
	begun := gateway.NewFixture(t, gateway.Options{Name: "gateway-0", Run: first.Run})
	fixtures := []*gateway.Fixture{begun}
	for n, child := range behind {
		fixtures = append(fixtures, gateway.NewFixture(t, gateway.Options{Name: fmt.Sprintf("gateway-%d", n+1), Store: begun.Store, Run: child.Run}))
	}
	waitForMesh(t, fixtures)
	startVersions(t, fixtures, steadyVersion, "v1")
	time.Sleep(streamWindow)
	for _, f := range fixtures[1:] {
		if got := resume(f, "", "in-step", versionCut); got.Status != http.StatusOK {
			t.Errorf("in step: got %+v", got)
		}
	}
	signalAll := func(s syscall.Signal) {
		for _, child := range behind {
			if err := child.Signal(s); err != nil {
				t.Fatal(err)
			}
		}
	}
	signalAll(syscall.SIGSTOP)
	for _, f := range fixtures[1:] {
		f.BlockStoreResponses(true)
	}
	begun.StartVersionServer("i-v2", "v2", steadyVersion("v2"))
	// A stream of the new version begins.
	for tries := 0; ; tries++ {
		if tries == 100 {
			t.Fatal("no stream began at the new version")
		}
		if body := readEvents(t, begun, fmt.Sprintf("begun-%d", tries), versionCut); slices.Equal(versionsIn(body), []string{"v2"}) {
			break
		}
	}
	if err := first.Kill(); err != nil {
		t.Fatal(err)
	}
	signalAll(syscall.SIGCONT)
	var resuming sync.WaitGroup
	for n := range 20 {
		for i, f := range fixtures[1:] {
			resuming.Go(func() {
				id := fmt.Sprintf("behind-%d-%d", i, n)
				got := f.Do(resumeRequest(f, "", id, versionCut))
				if got.Status == http.StatusOK && strings.Contains(got.Body, "v1") {
					t.Errorf("%s: a stream that began at v2 goes on at v1", id)
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
	}
	resuming.Wait()
	for _, f := range fixtures[1:] {
		f.BlockStoreResponses(false)
	}
}

// resumeRequest returns a request for the rest of a stream; begunBy may be empty.
func resumeRequest(f *gateway.Fixture, begunBy, id string, after int) *http.Request {
	req := f.Request(context.Background(), http.MethodPost, "/resume/x", id, nil)
	req.Header.Set("Last-Event-Id", fmt.Sprint(after))
	if begunBy != "" {
		req.Header.Set("Resumes", begunBy)
	}
	return req
}
