package logging

import (
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// thinner leaves out most lines of a flood: lines of one event and one reason,
// beyond so many a second. It is a zapcore.Core in front of another. What it
// leaves out is counted. zap's own sampler goes by the event alone, and a flood
// for one reason would take the lines for another with it.
type thinner struct {
	zapcore.Core
	seen *seenLines
}

// seenLines counts the lines of the running second. It holds no more keys than
// lines were written in a second.
type seenLines struct {
	// mu guards what follows; nothing is locked while it is held.
	mu     sync.Mutex
	second int64
	counts map[lineKind]int
}

// lineKind is what lines that are alike have in common.
type lineKind struct{ event, reason string }

func newThinner(core zapcore.Core) *thinner {
	return &thinner{Core: core, seen: &seenLines{counts: map[lineKind]int{}}}
}

// With implements zapcore.Core.
func (t *thinner) With(fields []zapcore.Field) zapcore.Core {
	return &thinner{Core: t.Core.With(fields), seen: t.seen}
}

// Check implements zapcore.Core.
func (t *thinner) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if t.Enabled(entry.Level) {
		return checked.AddCore(entry, t)
	}
	return checked
}

// Write implements zapcore.Core.
func (t *thinner) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	kind := lineKind{event: entry.Message}
	for i := range fields {
		if fields[i].Key == keyReason {
			kind.reason = fields[i].String
		}
	}
	if !t.seen.admit(entry.Time, kind) {
		dropped.Add(1)
		return nil
	}
	return t.Core.Write(entry, fields)
}

// admit counts a line and reports whether it is written.
func (s *seenLines) admit(now time.Time, kind lineKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second = second
		clear(s.counts)
	}
	s.counts[kind]++
	n := s.counts[kind]
	return n <= sampledFirst || (n-sampledFirst)%sampledThen == 0
}
