package program

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestFirstSignalCancelsSecondEndsAtOnce(t *testing.T) {
	atOnce := make(chan struct{})
	ctx, release := untilSignal(t.Context(), zap.NewNop(), func() { close(atOnce) })
	defer release()

	signalSelf(t, syscall.SIGTERM)
	<-ctx.Done()
	select {
	case <-atOnce:
		t.Fatal("the first signal ended the process at once")
	default:
	}
	signalSelf(t, syscall.SIGINT)
	<-atOnce
}

// What stops processes may say so twice; what is in progress still ends.
func TestRepeatedTermEndsNothingAtOnce(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	ctx, release := untilSignal(t.Context(), zap.New(core), func() { t.Error("ended at once") })
	signalSelf(t, syscall.SIGTERM)
	<-ctx.Done()
	signalSelf(t, syscall.SIGTERM)
	for deadline := time.Now().Add(10 * time.Second); lines.Len() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the second signal wasn't seen")
		}
	}
	release()
}

func TestReleaseWithoutSignal(t *testing.T) {
	ctx, release := untilSignal(t.Context(), zap.NewNop(), func() { t.Error("ended at once") })
	release()
	if ctx.Err() != context.Canceled {
		t.Fatalf("got %v after release, want canceled", ctx.Err())
	}
}

func signalSelf(t *testing.T, sig os.Signal) {
	t.Helper()
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if err := self.Signal(sig); err != nil {
		t.Fatal(err)
	}
}
