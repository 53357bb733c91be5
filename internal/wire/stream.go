package wire

import (
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// ErrTruncated: a stream ended without FrameEnd or FrameFail, so its response is
// incomplete.
var ErrTruncated = errors.New("stream ended without a terminal frame")

// ErrHeartbeatTimeout: a stream sent nothing, not even a heartbeat, for
// HeartbeatTimeout.
var ErrHeartbeatTimeout = errors.New("no data or heartbeat on the stream within the timeout")

const (
	// HeartbeatInterval is how often an agent sends a heartbeat on a stream without
	// data.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is how long a reader waits for data or a heartbeat before it
	// treats the stream as dead, whatever TCP reports: four heartbeat intervals and a
	// margin for a busy machine.
	HeartbeatTimeout = 3 * time.Second
	// frameWriteTimeout bounds the write of one frame to a peer that stops reading.
	frameWriteTimeout = 10 * time.Second
)

// FrameWriter writes frames to an HTTP response and flushes after each.
type FrameWriter struct {
	enc     *cbor.Encoder
	control *http.ResponseController
}

// NewFrameWriter returns a FrameWriter on w.
func NewFrameWriter(w http.ResponseWriter) *FrameWriter {
	return &FrameWriter{enc: cbor.NewEncoder(w), control: http.NewResponseController(w)}
}

// Write sends one frame. An error means that the entry has disconnected or stopped
// reading.
func (w *FrameWriter) Write(f Frame) error {
	_ = w.control.SetWriteDeadline(time.Now().Add(frameWriteTimeout))
	if err := w.enc.Encode(f); err != nil {
		return errors.Wrap(err, "write frame")
	}
	if err := w.control.Flush(); err != nil {
		return errors.Wrap(err, "flush frame")
	}
	return nil
}

// FrameReader reads frames and detects a dead stream. The timeout runs only while a
// read waits for bytes; the time that the consumer takes between two frames doesn't
// count.
type FrameReader struct {
	src      io.Reader
	dec      *cbor.Decoder
	watchdog *Watchdog
}

// NewFrameReader returns a FrameReader on r. onTimeout is called when a read of r has
// waited for HeartbeatTimeout, and must make that read return.
func NewFrameReader(r io.Reader, onTimeout func()) *FrameReader {
	fr := &FrameReader{src: r, watchdog: NewWatchdog(onTimeout)}
	fr.dec = cbor.NewDecoder(readerFunc(fr.read))
	return fr
}

// Next returns the next frame, heartbeats included. It returns ErrTruncated when the
// stream has no further whole frame, also after FrameEnd or FrameFail, and
// ErrHeartbeatTimeout when it timed out.
func (r *FrameReader) Next() (Frame, error) {
	var f Frame
	if err := r.dec.Decode(&f); err != nil {
		if r.watchdog.Expired() {
			return Frame{}, ErrHeartbeatTimeout
		}
		return Frame{}, errors.Wrap(ErrTruncated, err.Error())
	}
	return f, nil
}

func (r *FrameReader) read(p []byte) (int, error) {
	r.watchdog.Start()
	defer r.watchdog.Stop()
	return r.src.Read(p)
}

// Close stops the watchdog. It doesn't close the underlying reader.
func (r *FrameReader) Close() { r.watchdog.Stop() }

// readerFunc adapts a function to io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
