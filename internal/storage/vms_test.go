package storage

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// vmListServer serves a VM list of one VM, with an ETag unless etag is empty.
// It counts full and 304 responses.
type vmListServer struct {
	name, etag                          string
	fullResponses, notModifiedResponses int
}

func (s *vmListServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.etag != "" {
		w.Header().Set("ETag", s.etag)
	}
	if s.etag != "" && r.Header.Get("If-None-Match") == s.etag {
		s.notModifiedResponses++
		w.WriteHeader(http.StatusNotModified)
		return
	}
	s.fullResponses++
	_, _ = fmt.Fprintf(w, `[{"name":%q}]`, s.name)
}

// An unchanged list must be returned from the cache, without a transfer of the
// whole list. A changed list, or one without an ETag, must be read, and a caller
// that modifies its list must not modify the cached one.
func TestVMsConditionalRead(t *testing.T) {
	server := &vmListServer{name: "a", etag: `"1"`}
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	client := NewHTTPClient(httpServer.URL)
	read := func(name string, full, notModified int) {
		t.Helper()
		vms, err := client.VMs(context.Background())
		if err != nil || len(vms) != 1 || vms[0].Name != name {
			t.Fatalf("got %v, %v; want %s", vms, err, name)
		}
		if server.fullResponses != full || server.notModifiedResponses != notModified {
			t.Fatalf("full reads %d, not modified %d; want %d, %d", server.fullResponses, server.notModifiedResponses, full, notModified)
		}
		vms[0].Name = "changed by the caller"
	}
	read("a", 1, 0)
	read("a", 1, 1)
	read("a", 1, 2)
	server.name, server.etag = "b", `"2"`
	read("b", 2, 2)
	read("b", 2, 3)
	server.etag = ""
	read("b", 3, 3)
	server.name = "c"
	read("c", 4, 3)
}

// A 304 response to an unconditional request is an error, since no list is
// cached for it.
func TestVMsUnexpectedNotModified(t *testing.T) {
	httpServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotModified)
	}))
	defer httpServer.Close()
	if vms, err := NewHTTPClient(httpServer.URL).VMs(context.Background()); err == nil {
		t.Fatalf("got %v, want an error", vms)
	}
}
