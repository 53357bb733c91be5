package earlysignal

import (
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// childEnv makes the test binary send itself SIGHUP instead of running the tests; its value says
// whether it calls Release before.
const childEnv = "APPLEPIER_TEST_HANGUP"

func TestMain(m *testing.M) {
	// Any thread may get the signal, after Kill has returned.
	lifetime := 200 * time.Millisecond
	switch os.Getenv(childEnv) {
	case "":
		os.Exit(m.Run())
	case "released":
		Release()
		lifetime = 10 * time.Second
	}
	// An error can't happen: a process may signal itself.
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	time.Sleep(lifetime)
	os.Exit(0)
}

// Guards against SIGHUP terminating a process that has not yet begun to handle it.
func TestHangupBeforeItIsHandled(t *testing.T) {
	for mode, wantEnd := range map[string]bool{"early": false, "released": true} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), childEnv+"="+mode)
		if err := cmd.Run(); (err != nil) != wantEnd {
			t.Errorf("%s: got %v, ended by the signal expected: %v", mode, err, wantEnd)
		}
	}
}

// A process that handles SIGHUP itself gets it after Release.
func TestReleaseKeepsOtherHandlers(t *testing.T) {
	own := make(chan os.Signal, 1)
	signal.Notify(own, syscall.SIGHUP)
	defer signal.Stop(own)
	Release()
	defer signal.Notify(hangup, syscall.SIGHUP)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-own
}
