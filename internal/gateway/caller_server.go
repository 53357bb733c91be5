package gateway

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/callers"
)

// newCallerServer returns the HTTP server for caller requests. idleTimeout returns how long a caller
// connection may stay idle, and pause for how long new connections are refused now; nil for never.
func newCallerServer(listener net.Listener, handler http.Handler, idleTimeout, pause func() time.Duration, log *zap.Logger) *callers.Server {
	return callers.New(listener, callers.Config{Handler: handler, HeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout, Pause: pause, Log: log})
}
