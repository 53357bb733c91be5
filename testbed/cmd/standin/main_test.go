package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/applepier/applepier/testbed/ports"
)

func TestStandInsServeAndShutDown(t *testing.T) {
	paths := map[string]string{"engine": "/v1/models", "platform": "/vms", "service": "/record"}
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			addr := ports.ReserveForTest(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- newCommand().Run(ctx, []string{"standin", name, "--listen", addr}) }()
			waitForOK(t, "http://"+addr+path, done)
			http.DefaultClient.CloseIdleConnections()
			cancel()
			if err := <-done; err != nil {
				t.Fatalf("after shutdown: %v", err)
			}
		})
	}
}

func waitForOK(t *testing.T, url string, done <-chan error) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		select {
		case err := <-done:
			t.Fatalf("stopped early: %v", err)
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
	t.Fatalf("%s did not respond with status 200", url)
}
