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
	// maxQueued bounds the lines that wait for a reader that is slow or gone,
	// some 300 KB; what comes beyond it is left out and counted.
	maxQueued = 1024
	// flushWait bounds how long a process that ends waits for its last lines.
	flushWait = time.Second
)

// dropped counts the lines that this process left out.
var dropped atomic.Int64

// Dropped counts the lines that this process has left out so far, since they
// were too many or their reader too slow.
func Dropped() int64 { return dropped.Load() }

// lossyWriter never blocks its callers: lines are queued and written by
// another goroutine, and left out when the queue is full. It implements
// zapcore.WriteSyncer.
type lossyWriter struct {
	out io.Writer
	// mu guards what follows; nothing is locked while it is held.
	mu      sync.Mutex
	queue   [][]byte
	lost    int64
	writing bool
	idle    *sync.Cond
	writer  conc.WaitGroup
}

func newLossyWriter(out io.Writer) *lossyWriter {
	w := &lossyWriter{out: out}
	w.idle = sync.NewCond(&w.mu)
	return w
}

// Write implements io.Writer. It never fails.
func (w *lossyWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueued {
		w.lost++
		dropped.Add(1)
		return len(line), nil
	}
	w.queue = append(w.queue, append([]byte(nil), line...))
	if !w.writing {
		w.writing = true
		w.writer.Go(w.drain)
	}
	return len(line), nil
}

// drain writes until the queue is empty.
func (w *lossyWriter) drain() {
	for {
		w.mu.Lock()
		lines, lost := w.queue, w.lost
		w.queue, w.lost = nil, 0
		if len(lines) == 0 && lost == 0 {
			w.writing = false
			w.idle.Broadcast()
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		if lost > 0 {
			lines = append(lines, []byte(fmt.Sprintf("%s=warn %s=%s lines=%d\n", keyLevel, keyEvent, EventLinesDropped, lost)))
		}
		for _, line := range lines {
			// There is nowhere to tell that a log can't be written.
			_, _ = w.out.Write(line)
		}
	}
}

// Sync waits until all is written, or for flushWait.
func (w *lossyWriter) Sync() error {
	timer := time.AfterFunc(flushWait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.idle.Broadcast()
	})
	defer timer.Stop()
	until := time.Now().Add(flushWait)
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.writing && time.Now().Before(until) {
		w.idle.Wait()
	}
	return nil
}
