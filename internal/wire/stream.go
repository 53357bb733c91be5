package wire

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// ErrNoEnd: a stream ended without FrameEnd or FrameFail; its answer is not
// whole.
var ErrNoEnd = errors.New("stream ended without a terminal frame")

// ErrSilent: a stream sent nothing, not even a heartbeat, past its bound.
var ErrSilent = errors.New("stream went silent")

const (
	// HeartbeatEvery is how often an agent sends on a stream with no data.
	HeartbeatEvery = 500 * time.Millisecond
	// SilenceBound is when a stream without any frame counts as dead,
	// whatever TCP says: four heartbeats and some room for a busy machine.
	SilenceBound = 3 * time.Second
	// frameWriteTimeout bounds one frame's write to a peer that stops reading.
	frameWriteTimeout = 10 * time.Second
)

// FrameWriter writes frames on an HTTP response, each flushed at once.
type FrameWriter struct {
	enc     *cbor.Encoder
	control *http.ResponseController
}

// NewFrameWriter returns a writer of frames on w.
func NewFrameWriter(w http.ResponseWriter) *FrameWriter {
	return &FrameWriter{enc: cbor.NewEncoder(w), control: http.NewResponseController(w)}
}

// Write sends one frame; an error means that the entry has gone.
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

// FrameReader reads frames and gives up on a stream that goes silent.
type FrameReader struct {
	dec     *cbor.Decoder
	silence *time.Timer
	silent  atomic.Bool
}

// NewFrameReader reads frames from r; cut is called when the stream has been
// silent for SilenceBound and must make a pending Read of r return.
func NewFrameReader(r io.Reader, cut func()) *FrameReader {
	fr := &FrameReader{dec: cbor.NewDecoder(r)}
	fr.silence = time.AfterFunc(SilenceBound, func() {
		fr.silent.Store(true)
		cut()
	})
	return fr
}

// Next returns the next frame, heartbeats included: ErrNoEnd when the stream
// ends, ErrSilent when it went silent.
func (r *FrameReader) Next() (Frame, error) {
	var f Frame
	if err := r.dec.Decode(&f); err != nil {
		if r.silent.Load() {
			return Frame{}, ErrSilent
		}
		return Frame{}, errors.Wrap(ErrNoEnd, err.Error())
	}
	r.silence.Reset(SilenceBound)
	return f, nil
}

// Close stops the watch for silence.
func (r *FrameReader) Close() { r.silence.Stop() }
