package wire

import (
	"io"
	"net/http"
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
	// SilenceBound is when a stream counts as dead that sends nothing to who
	// waits for it, whatever TCP says: four heartbeats and some room for a busy
	// machine.
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

// FrameReader reads frames and gives up on a stream that goes silent. Only a
// read that waits for bytes counts as silent: what its user does between two
// frames may take its time.
type FrameReader struct {
	from    io.Reader
	dec     *cbor.Decoder
	silence *Silence
}

// NewFrameReader reads frames from r; cut is called when a read of r has waited
// for SilenceBound, and must make it return.
func NewFrameReader(r io.Reader, cut func()) *FrameReader {
	fr := &FrameReader{from: r, silence: NewSilence(cut)}
	fr.dec = cbor.NewDecoder(readFunc(fr.read))
	return fr
}

// Next returns the next frame, heartbeats included: ErrNoEnd when the stream
// ends, ErrSilent when it went silent.
func (r *FrameReader) Next() (Frame, error) {
	var f Frame
	if err := r.dec.Decode(&f); err != nil {
		if r.silence.Over() {
			return Frame{}, ErrSilent
		}
		return Frame{}, errors.Wrap(ErrNoEnd, err.Error())
	}
	return f, nil
}

func (r *FrameReader) read(p []byte) (int, error) {
	r.silence.Begin()
	defer r.silence.End()
	return r.from.Read(p)
}

// Close stops the watch for silence.
func (r *FrameReader) Close() { r.silence.End() }

// readFunc is a function as a reader.
type readFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readFunc) Read(p []byte) (int, error) { return f(p) }
