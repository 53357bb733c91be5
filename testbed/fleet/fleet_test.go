package fleet

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/applepier/applepier/internal/targets"
)

// testTimeout bounds a complete test and allows for a busy machine.
const testTimeout = 90 * time.Second

func startFleet(t *testing.T, options Options) (context.Context, *Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	f, err := Start(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			f.WriteLogs(os.Stderr, 40)
		}
		f.Close()
	})
	return ctx, f
}

func testOptions() Options {
	return Options{
		Entries:  2,
		Backends: Engines(2, "m", 4, 5*time.Millisecond),
		Classes:  []targets.Class{{Name: "note", Tier: 1, Model: "m", FirstToken: 5 * time.Second, Repeatable: true}},
	}
}

func sendChatCompletion(ctx context.Context, e *Entry) error {
	body := `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":3}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("X-Applepier-Class", "note")
	request.Header.Set("X-Applepier-Customer", "kaivonkansi")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &StatusError{Method: request.Method, URL: e.URL, StatusCode: response.StatusCode}
	}
	return nil
}

// Covers what the fault matrix does to processes: restart, pause, resume, terminate, kill and
// replace. The record of a run must survive the restart of its engine.
func TestProcessLifecycle(t *testing.T) {
	ctx, f := startFleet(t, testOptions())
	if err := sendChatCompletion(ctx, f.Entries[0]); err != nil {
		t.Fatal(err)
	}
	engine := f.Backends[0].Server
	if err := engine.Restart(ctx); err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, backend := range f.Backends {
		runs, err := backend.Server.Runs()
		if err != nil {
			t.Fatal(err)
		}
		count += len(runs)
	}
	if count != 1 {
		t.Fatalf("runs after the restart: %d, want 1", count)
	}
	agent := f.Backends[0].Agent
	if err := agent.Pause(); err != nil {
		t.Fatal(err)
	}
	if err := agent.Resume(); err != nil {
		t.Fatal(err)
	}
	if err := agent.Terminate(ctx); err != nil {
		t.Fatal(err)
	}
	if agent.Running() {
		t.Fatal("agent is still running after SIGTERM")
	}
	if err := f.Entries[1].Kill(); err != nil {
		t.Fatal(err)
	}
	if _, err := f.AddEntry(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against processes that outlive their fleet, among them a paused one, which handles no
// signal but SIGKILL and SIGCONT.
func TestCloseKillsEveryProcess(t *testing.T) {
	_, f := startFleet(t, testOptions())
	if err := f.Entries[0].Pause(); err != nil {
		t.Fatal(err)
	}
	var pids []int
	for _, p := range f.Processes() {
		pids = append(pids, p.PID())
	}
	f.Close()
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); err != syscall.ESRCH {
			t.Errorf("process %d still exists: %v", pid, err)
		}
	}
	if len(pids) != 7 {
		t.Errorf("%d processes, want 7", len(pids))
	}
}

func TestFailedStartErrorContainsLogs(t *testing.T) {
	options := testOptions()
	options.Backends[0].Serves = ""
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f, err := Start(ctx, options)
	if err == nil {
		f.Close()
		t.Fatal("fleet started with invalid settings")
	}
	if !strings.Contains(err.Error(), "log of") {
		t.Fatalf("no log in %v", err)
	}
}

// Guards against a failed start whose error doesn't name the cause: a process killed from outside
// leaves an empty log, and its callers only see reset or refused connections.
func TestStartTellsWhichProcessEnded(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	binaries, err := Build(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer binaries.Remove()
	killedBinaries := *binaries
	killedBinaries.StandIn = filepath.Join(t.TempDir(), "standin")
	script := "#!/bin/sh\n\"" + binaries.StandIn + "\" \"$@\" &\nsleep 0.01\nkill -KILL $! $$\n"
	if err := os.WriteFile(killedBinaries.StandIn, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	options := testOptions()
	options.Binaries = &killedBinaries
	f, err := Start(ctx, options)
	if err == nil {
		f.Close()
		t.Fatal("fleet started although its platform was killed")
	}
	if want := "platform (ended: signal: killed)"; !strings.Contains(err.Error(), want) {
		t.Errorf("%v, want %q in it", err, want)
	}
}
