package storage_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
)

// longestObject is the size in bytes of the longest object that can be read.
const longestObject = 64 << 20

// Guards against an object that is cut at the longest size that is read and passes as the whole.
func TestTooLongObjectIsAnError(t *testing.T) {
	for name, size := range map[string]int{"longest": longestObject, "longer": longestObject + 1} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(bytes.Repeat([]byte("x"), size))
			}))
			defer server.Close()
			object, err := storage.NewHTTPClient(server.URL).GetObject(t.Context(), "k")
			if size <= longestObject && (err != nil || len(object) != size) {
				t.Errorf("object of %d bytes: %d bytes, %v", size, len(object), err)
			}
			if size > longestObject && !errors.Is(err, storage.ErrUnavailable) {
				t.Errorf("object of %d bytes: %d bytes, %v; want ErrUnavailable", size, len(object), err)
			}
		})
	}
}
