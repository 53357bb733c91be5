package wire

import (
	"net/http/httptest"
	"testing"
)

// errors.Wrap of go-faster makes an error of nil as well, which once made
// every frame that was written look like a lost entry.
func TestWriteOfFrameSucceeds(t *testing.T) {
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
