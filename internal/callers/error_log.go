package callers

import (
	"log"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
)

// errorLogWriter forwards net/http's error log to the process's log. A handler that
// panics closes its caller's connection, and only net/http reports it.
type errorLogWriter struct{ log *zap.Logger }

// Write implements io.Writer.
func (w errorLogWriter) Write(p []byte) (int, error) {
	w.log.Error(logging.EventServerError, logging.Reason(string(p)))
	return len(p), nil
}

func newErrorLog(logger *zap.Logger) *log.Logger { return log.New(errorLogWriter{logger}, "", 0) }
