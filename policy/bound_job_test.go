package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a stream that goes on at a server of another software version, or of unknown version,
// however much better that server is.
func TestBoundJobStaysAtItsVersion(t *testing.T) {
	v1, v2 := KeyOf("v1"), KeyOf("v2")
	random := rand.New(rand.NewPCG(1, 2))
	chooser := NewChooser(random, NewEjector(), NewPrefixIndex())
	servers := []Server{{Name: "unknown", Slots: 8}}
	for i := range 6 {
		version, running := v2, 0
		if i < 2 {
			version, running = v1, 6
		}
		servers = append(servers, Server{Name: fmt.Sprint("i-", i), Version: version, Slots: 8, Running: running})
	}
	job := Job{Tokens: 500, Target: time.Second, Bound: true, Version: v1}
	for range 200 {
		choice := chooser.Choose(time.Now(), job, servers, &PrefillRate{})
		if !choice.Found || servers[choice.Index].Version != v1 {
			t.Fatalf("got %+v", choice)
		}
	}
	servers[1].Draining, job.Tried = true, []string{"i-1"}
	if choice := chooser.Choose(time.Now(), job, servers, &PrefillRate{}); choice.Found {
		t.Errorf("got server %s though those of the version drain or were tried", servers[choice.Index].Name)
	}
	job.Tried, job.Version = nil, 0
	if choice := chooser.Choose(time.Now(), job, servers, &PrefillRate{}); choice.Found {
		t.Errorf("got server %s for a stream of unknown version", servers[choice.Index].Name)
	}
	if job.Bound = false; !chooser.Choose(time.Now(), job, servers, &PrefillRate{}).Found {
		t.Error("no server for a new stream")
	}
}
