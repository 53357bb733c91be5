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

func TestFirstSignalCancelsAndSIGINTForcesExit(t *testing.T) {
	forced := make(chan struct{})
	ctx, release := withSignalCancel(t.Context(), zap.NewNop(), func() { close(forced) })
	defer release()

	sendSignalToSelf(t, syscall.SIGTERM)
	<-ctx.Done()
	select {
	case <-forced:
		t.Fatal("the first signal forced an exit")
	default:
	}
	sendSignalToSelf(t, syscall.SIGINT)
	<-forced
}

// A service manager may send SIGTERM twice. The second one must not interrupt the
// graceful shutdown.
func TestRepeatedSIGTERMDoesNotForceExit(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	ctx, release := withSignalCancel(t.Context(), zap.New(core), func() { t.Error("forced an exit") })
	sendSignalToSelf(t, syscall.SIGTERM)
	<-ctx.Done()
	sendSignalToSelf(t, syscall.SIGTERM)
	for deadline := time.Now().Add(10 * time.Second); lines.Len() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the second SIGTERM was not logged")
		}
	}
	release()
}

func TestReleaseWithoutSignal(t *testing.T) {
	ctx, release := withSignalCancel(t.Context(), zap.NewNop(), func() { t.Error("forced an exit") })
	release()
	if ctx.Err() != context.Canceled {
		t.Fatalf("got %v after release, want canceled", ctx.Err())
	}
}

func sendSignalToSelf(t *testing.T, sig os.Signal) {
	t.Helper()
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if err := self.Signal(sig); err != nil {
		t.Fatal(err)
	}
}
