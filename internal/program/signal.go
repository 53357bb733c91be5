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

// endAtOnce is what a second signal does.
func endAtOnce() { os.Exit(int(ExitFailure)) }

// untilSignal returns a context that the first SIGTERM or SIGINT cancels; a
// second one calls atOnce. Release stops listening.
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
	for _, act := range []func(){first, second} {
		select {
		case received := <-signals:
			log.Info(logging.EventSignal, logging.Reason(received.String()))
			act()
		case <-done:
			return
		}
	}
}
