package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/settings"
)

// Errors returned by Serve.
var (
	// ErrListen means that the agent can't listen on the configured address.
	ErrListen = errors.New("cannot listen")
	// ErrKeys means that a configured key can't be read.
	ErrKeys = errors.New("cannot read keys")
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// connIdleTimeout is the time after which an idle connection for run requests
	// is closed. It is longer than the entry's own idle timeout, so that the
	// entry closes the connection first.
	connIdleTimeout = time.Minute
)

// Serve runs an agent until ctx ends and then shuts it down gracefully: it
// refuses new tickets and returns when the issued grants and runs have ended.
// It returns ErrKeys or ErrListen when the agent can't start.
func Serve(ctx context.Context, cfg settings.Agent, log *zap.Logger) error {
	systemKey, err := cfg.Keys.System.Read()
	if err != nil {
		return errors.Wrap(ErrKeys, err.Error())
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return errors.Wrap(ErrListen, err.Error())
	}
	return New(cfg, systemKey, log).serve(ctx, listener)
}

func (a *Agent) serve(ctx context.Context, listener net.Listener) error {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	server := &http.Server{Handler: a.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: connIdleTimeout}
	var wg conc.WaitGroup
	wg.Go(func() { a.Run(workCtx) })
	wg.Go(func() { _ = server.Serve(listener) })
	a.log.Info(logging.EventStarted, zap.String("listen", listener.Addr().String()))
	<-ctx.Done()
	a.Drain()
	a.log.Info(logging.EventStopping)
	<-a.Drained()
	cancelWork()
	a.dispatcher.closeSessions()
	_ = server.Shutdown(context.Background())
	wg.Wait()
	return nil
}

// ready returns an error with the reason while the agent issues no grants.
func (a *Agent) ready() error {
	if reason, unavailable := a.dispatcher.unavailable(); unavailable {
		return errors.New(string(reason))
	}
	return nil
}
