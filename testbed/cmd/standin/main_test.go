package main

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestEachStandInServesAndEnds(t *testing.T) {
	paths := map[string]string{"engine": "/v1/models", "platform": "/vms", "service": "/record"}
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			addr := freeAddress(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- newCommand().Run(ctx, []string{"standin", name, "--listen", addr}) }()
			awaitOK(t, "http://"+addr+path, done)
			http.DefaultClient.CloseIdleConnections()
			cancel()
			if err := <-done; err != nil {
				t.Fatalf("after the end: %v", err)
			}
		})
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func awaitOK(t *testing.T, url string, done <-chan error) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		select {
		case err := <-done:
			t.Fatalf("ended early: %v", err)
		default:
		}
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s never answered", url)
}
