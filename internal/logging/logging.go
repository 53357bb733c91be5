// Package logging writes a process's log to standard error in logfmt: one line of
// key=value pairs per event. The event names are constants of this package and
// stay stable, so that operators can search and alert on them. A line never
// contains a prompt, a response body or a key. Start reading at New.
package logging

import (
	"io"
	"os"

	"github.com/go-faster/errors"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ErrLevel is returned for a level other than debug, info, warn and error.
var ErrLevel = errors.New("log level must be debug, info, warn or error")

const (
	// Of the lines with the same event and reason, the first sampleInitial in each
	// second are written, then one of every sampleThereafter. Writing a line costs
	// 1 µs plus a system call, dropping it a third of that; during a burst, a VM
	// with a tenth of a core refuses thousands of requests per second.
	sampleInitial    = 50
	sampleThereafter = 20
)

// New returns a logger for the named process that writes lines of the level and
// above. An empty level means info; an unknown one gives ErrLevel. The message of
// each line is the name of its event:
//
//	log.Info(logging.EventStarted, logging.Request(id))
func New(level string, process string) (*zap.Logger, error) {
	return newLogger(os.Stderr, level, process)
}

// newCore returns a core that writes to out without blocking and samples repeated
// lines. Dropped lines are counted.
func newCore(out io.Writer, enabled zapcore.LevelEnabler) zapcore.Core {
	return newSampler(newUnsampledCore(out, enabled))
}

// newUnsampledCore returns a core that writes to out without blocking.
func newUnsampledCore(out io.Writer, enabled zapcore.LevelEnabler) zapcore.Core {
	return zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), newAsyncWriter(out), enabled)
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

func encoderConfig() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey:        keyTime,
		LevelKey:       keyLevel,
		MessageKey:     keyEvent,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
}
