// Package logging writes the processes' logs: one line of key=value pairs for
// each event, to standard error. The event names are constants of this
// package and stay stable, so that operators can search and alert on them. A
// line never holds a prompt, an answer or a key. Start reading at New.
package logging

import (
	"io"
	"os"

	"github.com/go-faster/errors"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ErrLevel: the level is not debug, info, warn or error.
var ErrLevel = errors.New("log level must be debug, info, warn or error")

const (
	// sampledFirst and sampledThen thin a flood of lines of one event and one
	// reason: so many in a second are written, and of those beyond one in so
	// many. A line costs a microsecond and the system call that writes it, one
	// that is left out a third of that; a burst refuses thousands of requests a
	// second on a VM with a tenth of a core.
	sampledFirst = 50
	sampledThen  = 20
)

// New returns a logger for the named process. The empty level means info. The
// message of each line is its event's name:
//
//	log.Info(logging.EventStarted, logging.Request(id))
func New(level string, process string) (*zap.Logger, error) {
	return newLogger(os.Stderr, level, process)
}

// newCore writes to out without ever blocking, and thins floods. What is left
// out is counted.
func newCore(out io.Writer, enabled zapcore.LevelEnabler) zapcore.Core {
	return newThinner(newUnthinned(out, enabled))
}

// newUnthinned writes to out without ever blocking.
func newUnthinned(out io.Writer, enabled zapcore.LevelEnabler) zapcore.Core {
	return zapcore.NewCore(zaplogfmt.NewEncoder(encoding()), newLossyWriter(out), enabled)
}

func newLogger(out io.Writer, level string, process string) (*zap.Logger, error) {
	enabled, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	return zap.New(newCore(out, enabled)).With(zap.String(keyProcess, process)), nil
}

func parseLevel(level string) (zapcore.Level, error) {
	switch level {
	case "", "info":
		return zapcore.InfoLevel, nil
	case "debug":
		return zapcore.DebugLevel, nil
	case "warn":
		return zapcore.WarnLevel, nil
	case "error":
		return zapcore.ErrorLevel, nil
	default:
		return zapcore.InvalidLevel, errors.Wrapf(ErrLevel, "%q", level)
	}
}

func encoding() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey:        keyTime,
		LevelKey:       keyLevel,
		MessageKey:     keyEvent,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
}
