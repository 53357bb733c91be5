package logging

import (
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// sampler is a zapcore.Core that limits the rate of lines with the same event and
// reason before passing them to another Core; see sampleInitial. Dropped lines are
// counted. zap's own sampler counts lines by event only, so that many lines with one
// reason would suppress those with another.
type sampler struct {
	zapcore.Core
	counter *lineCounter
}

// lineCounter counts the lines of the current second by event and reason. It holds
// at most as many keys as lines were written in that second, since the first line
// of each key is written.
type lineCounter struct {
	// mu guards the fields below. No other lock is acquired while it is held.
	mu     sync.Mutex
	second int64
	counts map[lineKey]int
}

// lineKey is the key by which lines are sampled.
type lineKey struct{ event, reason string }

func newSampler(core zapcore.Core) *sampler {
	return &sampler{Core: core, counter: &lineCounter{counts: map[lineKey]int{}}}
}

// With implements zapcore.Core.
func (s *sampler) With(fields []zapcore.Field) zapcore.Core {
	return &sampler{Core: s.Core.With(fields), counter: s.counter}
}

// Check implements zapcore.Core.
func (s *sampler) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if s.Enabled(entry.Level) {
		return checked.AddCore(entry, s)
	}
	return checked
}

// Write implements zapcore.Core.
func (s *sampler) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	key := lineKey{event: entry.Message}
	for i := range fields {
		if fields[i].Key == keyReason {
			key.reason = fields[i].String
		}
	}
	if !s.counter.admit(entry.Time, key) {
		droppedLines.Add(1)
		return nil
	}
	return s.Core.Write(entry, fields)
}

// admit counts a line and reports whether it should be written.
func (c *lineCounter) admit(now time.Time, key lineKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := now.Unix(); second != c.second {
		c.second = second
		clear(c.counts)
	}
	c.counts[key]++
	n := c.counts[key]
	return n <= sampleInitial || (n-sampleInitial)%sampleThereafter == 0
}
