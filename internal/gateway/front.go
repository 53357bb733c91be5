package gateway

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/callers"
)

// newFront is the server that callers reach.
func newFront(l net.Listener, handler http.Handler, limit func() time.Duration, log *zap.Logger) *callers.Server {
	return callers.New(l, callers.Config{Handler: handler, HeaderTime: headerTimeout, MaxHeader: maxHeader, Limit: limit, Log: log})
}
