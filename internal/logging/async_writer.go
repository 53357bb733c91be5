package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxQueuedLines limits the lines that are queued for a slow or stuck reader,
	// about 300 KB; further lines are dropped and counted.
	maxQueuedLines = 1024
	// flushTimeout limits how long Sync waits for the queued lines.
	flushTimeout = time.Second
)

// droppedLines counts the lines that this process has dropped.
var droppedLines atomic.Int64

// DroppedLines returns the number of lines that this process has dropped so far,
// by sampling or because the queue was full.
func DroppedLines() int64 { return droppedLines.Load() }

// asyncWriter is a writer that never blocks: lines are queued and written by
// another goroutine, and dropped if the queue is full. It implements
// zapcore.WriteSyncer.
type asyncWriter struct {
	out io.Writer
	// mu guards the fields below. No other lock is acquired while it is held.
	mu    sync.Mutex
	queue [][]byte
	// unreportedDrops counts the lines dropped since the last EventLinesDropped.
	unreportedDrops int64
	draining        bool
	// drained is signaled when the queue is empty, and when Sync times out.
	drained *sync.Cond
	drainer conc.WaitGroup
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out}
	w.drained = sync.NewCond(&w.mu)
	return w
}

// Write implements io.Writer. It queues a copy of the line, or drops it if the queue is
// full; the error is always nil.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedLines {
		w.unreportedDrops++
		droppedLines.Add(1)
		return len(line), nil
	}
	w.queue = append(w.queue, append([]byte(nil), line...))
	if !w.draining {
		w.draining = true
		w.drainer.Go(w.drain)
	}
	return len(line), nil
}

// drain writes queued lines until the queue is empty. If lines were dropped, it
// writes a line with their number after those that were queued.
func (w *asyncWriter) drain() {
	for {
		w.mu.Lock()
		lines, drops := w.queue, w.unreportedDrops
		w.queue, w.unreportedDrops = nil, 0
		if len(lines) == 0 && drops == 0 {
			w.draining = false
			w.drained.Broadcast()
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		if drops > 0 {
			lines = append(lines, droppedLine(time.Now(), drops))
		}
		for _, line := range lines {
			// A failed write to the log can't be reported anywhere.
			_, _ = w.out.Write(line)
		}
	}
}

// droppedLine returns the line that tells how many lines were dropped.
func droppedLine(now time.Time, drops int64) []byte {
	return fmt.Appendf(nil, "%s=%s %s=warn %s=%s lines=%d\n", keyTime, now.Format(time.RFC3339Nano), keyLevel, keyEvent, EventLinesDropped, drops)
}

// Sync waits until all queued lines are written, at most for flushTimeout. It always
// returns nil.
func (w *asyncWriter) Sync() error {
	timedOut := false
	timer := time.AfterFunc(flushTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		timedOut = true
		w.drained.Broadcast()
	})
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.draining && !timedOut {
		w.drained.Wait()
	}
	return nil
}
