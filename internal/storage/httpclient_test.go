package storage

import (
	"io"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
)

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// bodyOf is a RoundTripper whose responses have bodies of a size in bytes. It takes no time, so that the
// client's time limit plays no part.
type bodyOf int64

func (size bodyOf) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(io.LimitReader(zeros{}, int64(size)))}, nil
}

// Guards against an object that is cut at the longest size that is read and passes as the whole.
func TestTooLongObjectIsAnError(t *testing.T) {
	for name, size := range map[string]int{"longest": maxResponseBytes, "longer": maxResponseBytes + 1, "much longer": 2 * maxResponseBytes} {
		t.Run(name, func(t *testing.T) {
			client := &HTTPClient{baseURL: "http://platform.example", reads: &http.Client{Transport: bodyOf(size)}}
			object, err := client.GetObject(t.Context(), "k")
			if size <= maxResponseBytes && (err != nil || len(object) != size) {
				t.Errorf("object of %d bytes: %d bytes, %v", size, len(object), err)
			}
			if size > maxResponseBytes && !errors.Is(err, ErrUnavailable) {
				t.Errorf("object of %d bytes: %d bytes, %v; want ErrUnavailable", size, len(object), err)
			}
		})
	}
}
