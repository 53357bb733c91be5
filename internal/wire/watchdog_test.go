package wire

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// heartbeatFrames returns a stream of n heartbeats.
func heartbeatFrames(t *testing.T, n int) *bytes.Buffer {
	t.Helper()
	var b bytes.Buffer
	enc := cbor.NewEncoder(&b)
	for range n {
		if err := enc.Encode(Frame{Kind: FrameHeartbeat}); err != nil {
			t.Fatal(err)
		}
	}
	return &b
}

// Guards against a timeout while the consumer processes a frame: a slow consumer lost
// its stream although the next frame had already arrived.
func TestSlowConsumerDoesNotTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeouts := 0
		r := NewFrameReader(heartbeatFrames(t, 2), func() { timeouts++ })
		defer r.Close()
		for range 2 {
			if _, err := r.Next(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(HeartbeatTimeout + time.Millisecond)
			synctest.Wait()
		}
		if timeouts != 0 {
			t.Fatalf("timed out %d times without a pending read", timeouts)
		}
	})
}

func TestBlockedReadTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipeReader, pipeWriter := io.Pipe()
		timeouts := 0
		r := NewFrameReader(pipeReader, func() { timeouts++; pipeReader.Close() })
		defer r.Close()
		// Frames that arrive later than one tick, but within the timeout.
		go func() {
			for range 3 {
				time.Sleep(HeartbeatTimeout - time.Millisecond)
				_, _ = pipeWriter.Write(heartbeatFrames(t, 1).Bytes())
			}
		}()
		for range 3 {
			if _, err := r.Next(); err != nil {
				t.Fatal(err)
			}
		}
		began := time.Now()
		if _, err := r.Next(); !errors.Is(err, ErrHeartbeatTimeout) {
			t.Fatalf("got %v, want ErrHeartbeatTimeout", err)
		}
		if took := time.Since(began); took != HeartbeatTimeout || timeouts != 1 {
			t.Fatalf("timed out %d times, after %v; want once after %v", timeouts, took, HeartbeatTimeout)
		}
	})
}
