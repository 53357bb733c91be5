package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/callers"
)

// newFront is the server that callers reach; its listener is a
// callers.Listener.
func newFront(handler http.Handler, limit func() time.Duration, log *zap.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: newIdle(limit, log).state,
		MaxHeaderBytes: maxHeader, ErrorLog: zap.NewStdLog(zap.NewNop()), ConnContext: callers.Context,
	}
}
