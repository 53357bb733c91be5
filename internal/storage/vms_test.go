package storage

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// listServer answers with a VM list of one name, under an ETag if it has one.
type listServer struct {
	name, tag          string
	whole, notModified int
}

func (s *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.tag != "" {
		w.Header().Set("ETag", s.tag)
	}
	if s.tag != "" && r.Header.Get("If-None-Match") == s.tag {
		s.notModified++
		w.WriteHeader(http.StatusNotModified)
		return
	}
	s.whole++
	_, _ = fmt.Fprintf(w, `[{"name":%q}]`, s.name)
}

func TestVMsConditionalRead(t *testing.T) {
	server := &listServer{name: "a", tag: `"1"`}
	web := httptest.NewServer(server)
	defer web.Close()
	client := NewHTTP(web.URL)
	read := func(name string, whole, notModified int) {
		t.Helper()
		vms, err := client.VMs(context.Background())
		if err != nil || len(vms) != 1 || vms[0].Name != name {
			t.Fatalf("got %v, %v; want %s", vms, err, name)
		}
		if server.whole != whole || server.notModified != notModified {
			t.Fatalf("whole reads %d, not modified %d; want %d, %d", server.whole, server.notModified, whole, notModified)
		}
		vms[0].Name = "changed by the caller"
	}
	read("a", 1, 0)
	read("a", 1, 1)
	read("a", 1, 2)
	server.name, server.tag = "b", `"2"`
	read("b", 2, 2)
	read("b", 2, 3)
	server.tag = ""
	read("b", 3, 3)
	server.name = "c"
	read("c", 4, 3)
}

// A status 304 that nobody asked for has no list behind it.
func TestVMsNotModifiedUnasked(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotModified)
	}))
	defer web.Close()
	if vms, err := NewHTTP(web.URL).VMs(context.Background()); err == nil {
		t.Fatalf("got %v, want an error", vms)
	}
}
