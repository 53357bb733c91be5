package wire

import (
	"net/http/httptest"
	"testing"
)

// Guards against a write error on success: go-faster's errors.Wrap returns an error for
// nil too, so that every written frame was reported as a disconnected entry.
func TestFrameWriterReturnsNilOnSuccess(t *testing.T) {
	recorder := httptest.NewRecorder()
	if err := NewFrameWriter(recorder).Write(Frame{Kind: FrameEnd}); err != nil {
		t.Fatal(err)
	}
	frames := NewFrameReader(recorder.Body, func() {})
	defer frames.Close()
	if f, err := frames.Next(); err != nil || f.Kind != FrameEnd {
		t.Fatalf("read %+v, %v", f, err)
	}
}
