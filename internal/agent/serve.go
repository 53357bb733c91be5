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

// Errors of an agent's start.
var (
	// ErrListen: the address of the settings can't be listened on.
	ErrListen = errors.New("cannot listen")
	// ErrKeys: a key of the settings can't be read.
	ErrKeys = errors.New("cannot read keys")
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes an entry's connection for bodies that asks nothing;
	// above the entry's own, so that the entry closes it first.
	idleTimeout = time.Minute
)

// Serve runs an agent until ctx ends, then shuts it down gracefully: it grants
// nothing more and ends what runs.
func Serve(ctx context.Context, s settings.Agent, log *zap.Logger) error {
	systemKey, err := s.Keys.System.Read()
	if err != nil {
		return errors.Wrap(ErrKeys, err.Error())
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(ErrListen, err.Error())
	}
	return New(s, systemKey, log).serve(ctx, listener)
}

func (a *Agent) serve(ctx context.Context, listener net.Listener) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	server := &http.Server{Handler: a.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	var wg conc.WaitGroup
	wg.Go(func() { a.Run(work) })
	wg.Go(func() { _ = server.Serve(listener) })
	a.log.Info(logging.EventStarted, zap.String("listen", listener.Addr().String()))
	<-ctx.Done()
	a.Leave()
	a.log.Info(logging.EventStopping)
	<-a.Drained()
	stop()
	a.table.closeSessions()
	_ = server.Shutdown(context.Background())
	wg.Wait()
	return nil
}

// ready says whether the agent grants.
func (a *Agent) ready() error {
	if reason, closed := a.table.state(); closed {
		return errors.New(string(reason))
	}
	return nil
}
