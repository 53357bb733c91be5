package program

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
)

// exitImmediately exits without waiting for the graceful shutdown.
func exitImmediately() { os.Exit(int(ExitFailure)) }

// withSignalCancel returns a context that the first SIGTERM or SIGINT cancels. A
// SIGINT after it calls forceExit. Further SIGTERMs are only logged, because a
// service manager may send SIGTERM twice and requests are still in progress. The
// caller must call release, which stops signal handling and cancels the context.
func withSignalCancel(parent context.Context, log *zap.Logger, forceExit func()) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	var handler conc.WaitGroup
	handler.Go(func() { handleSignals(signals, done, log, cancel, forceExit) })
	return ctx, func() {
		signal.Stop(signals)
		close(done)
		handler.Wait()
		cancel()
	}
}

// handleSignals logs each signal until done is closed. It calls cancel on the
// first signal. On a later SIGINT it calls forceExit and returns.
func handleSignals(signals <-chan os.Signal, done <-chan struct{}, log *zap.Logger, cancel, forceExit func()) {
	stopping := false
	for {
		select {
		case received := <-signals:
			log.Info(logging.EventSignal, logging.Reason(received.String()))
			switch {
			case !stopping:
				stopping = true
				cancel()
			case received == syscall.SIGINT:
				forceExit()
				return
			}
		case <-done:
			return
		}
	}
}
