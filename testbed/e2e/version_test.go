package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/targets"
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
	for _, backend := range f.Backends[:2] {
		if err := backend.Server.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	wait()
	checkResumedRuns(t, f)
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
