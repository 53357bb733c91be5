package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/testbed/engine"
	"github.com/applepier/applepier/testbed/fleet"
)

// TestStreamsKeepSoftwareVersionWhenEnginesCrash guards against a response that is joined from runs on
// engines of two software versions. It kills one engine of each version while responses stream; each
// must continue on another engine of its version and arrive complete.
func TestStreamsKeepSoftwareVersionWhenEnginesCrash(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	backends := fleet.Engines(6, model, 8, 20*time.Millisecond)
	for i := range backends {
		backends[i].SoftwareVersion = []string{"v1", "v2"}[i%2]
	}
	f, err := fleet.Start(ctx, fleet.Options{
		Entries: 1, Backends: backends,
		Classes: []targets.Class{{Name: "log-summary", Tier: 4, Model: model, Completion: time.Minute, Repeatable: true}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	wait := startStreams(ctx, t, f.Entries[0])
	for _, version := range []string{"v1", "v2"} {
		if err := busiestEngine(t, f, version).Server.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	wait()
	checkResumedRuns(t, f)
}

// busiestEngine returns the engine of a software version on which most streams are in progress.
func busiestEngine(t *testing.T, f *fleet.Fleet, version string) *fleet.Backend {
	t.Helper()
	var busiest *fleet.Backend
	most := -1
	for _, backend := range f.Backends {
		if backend.Server.Spec.SoftwareVersion != version {
			continue
		}
		runs, err := backend.Server.Runs()
		if err != nil {
			t.Fatal(err)
		}
		inProgress := 0
		for _, run := range runs {
			if run.Outcome == engine.OutcomeRunning {
				inProgress++
			}
		}
		if inProgress > most {
			busiest, most = backend, inProgress
		}
	}
	t.Logf("%d streams are in progress on the busiest engine of version %s", most, version)
	return busiest
}

// checkResumedRuns checks that some streams were resumed, each at the version that began it. A run that
// began before its caller had a token doesn't bind the stream.
func checkResumedRuns(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	type runAt struct{ request, version string }
	began, resumed := map[runAt]bool{}, map[runAt]bool{}
	for _, backend := range f.Backends {
		runs, err := backend.Server.Runs()
		if err != nil {
			t.Fatal(err)
		}
		for _, run := range runs {
			at := runAt{run.RequestID, backend.Server.Spec.SoftwareVersion}
			if run.ResumedFrom > 0 {
				resumed[at] = true
			} else {
				began[at] = true
			}
		}
	}
	for at := range resumed {
		if !began[at] {
			t.Errorf("request %s was resumed at version %s, where it didn't begin", at.request, at.version)
		}
	}
	t.Logf("%d streams were resumed", len(resumed))
	if len(resumed) == 0 {
		t.Error("no stream was resumed")
	}
}
