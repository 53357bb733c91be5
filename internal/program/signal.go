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

// endAtOnce is what an operator at a terminal does to a process that stops.
func endAtOnce() { os.Exit(int(ExitFailure)) }

// untilSignal returns a context that the first SIGTERM or SIGINT cancels; a
// SIGINT after it calls atOnce. Another SIGTERM does nothing more: what stops
// processes may say so twice, and requests are in progress. Release stops
// listening.
func untilSignal(parent context.Context, log *zap.Logger, atOnce func()) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	var listener conc.WaitGroup
	listener.Go(func() { listen(signals, done, log, cancel, atOnce) })
	return ctx, func() {
		signal.Stop(signals)
		close(done)
		listener.Wait()
		cancel()
	}
}

func listen(signals <-chan os.Signal, done <-chan struct{}, log *zap.Logger, first, second func()) {
	stopping := false
	for {
		select {
		case received := <-signals:
			log.Info(logging.EventSignal, logging.Reason(received.String()))
			switch {
			case !stopping:
				stopping = true
				first()
			case received == syscall.SIGINT:
				second()
				return
			}
		case <-done:
			return
		}
	}
}
