package gateway

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/callers"
)

// newClientServer is the server that callers reach.
func newClientServer(listener net.Listener, handler http.Handler, idleLimit func() time.Duration, log *zap.Logger) *callers.Server {
	return callers.New(listener, callers.Config{Handler: handler, HeaderTime: headerTimeout, MaxHeader: maxHeaderBytes, Limit: idleLimit, Log: log})
}
