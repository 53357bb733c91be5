package callers

import (
	"log"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
)

// lines takes net/http's own lines into the log: a handler that panicked closes
// its caller's connection, and nothing else tells of it.
type lines struct{ log *zap.Logger }

// Write implements io.Writer.
func (l lines) Write(p []byte) (int, error) {
	l.log.Error(logging.EventServerError, logging.Reason(string(p)))
	return len(p), nil
}

func errorLog(to *zap.Logger) *log.Logger { return log.New(lines{to}, "", 0) }
