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

// framesOf is a stream of that many heartbeats.
func framesOf(t *testing.T, n int) *bytes.Buffer {
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

// A consumer that is slow with one frame once lost a stream whose next frame
// had long been there.
func TestFrameThatHasComeIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := 0
		r := NewFrameReader(framesOf(t, 2), func() { cut++ })
		defer r.Close()
		for range 2 {
			if _, err := r.Next(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(SilenceBound + time.Millisecond)
			synctest.Wait()
		}
		if cut != 0 {
			t.Fatalf("cut %d times while nobody waited for a frame", cut)
		}
	})
}

func TestReadThatWaitsIsCutAtTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := io.Pipe()
		cuts := 0
		r := NewFrameReader(from, func() { cuts++; from.Close() })
		defer r.Close()
		// Frames that come later than one part of the bound, but within it.
		go func() {
			for range 3 {
				time.Sleep(SilenceBound - time.Millisecond)
				_, _ = to.Write(framesOf(t, 1).Bytes())
			}
		}()
		for range 3 {
			if _, err := r.Next(); err != nil {
				t.Fatal(err)
			}
		}
		began := time.Now()
		if _, err := r.Next(); !errors.Is(err, ErrSilent) {
			t.Fatalf("got %v, want ErrSilent", err)
		}
		if took := time.Since(began); took != SilenceBound || cuts != 1 {
			t.Fatalf("cut %d times, after %v; want once after %v", cuts, took, SilenceBound)
		}
	})
}
