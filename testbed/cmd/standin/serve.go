package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

const (
	// shutdownTimeout bounds how long active streams may take to finish.
	shutdownTimeout = 30 * time.Second
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
)

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "host:port to listen on"}
}

// serve serves HTTP on addr until ctx is done, then waits up to shutdownTimeout for active
// requests. It returns an error if they don't finish in time.
func serve(ctx context.Context, addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		_ = server.Close()
		return errors.Wrap(err, "active requests did not finish in time")
	}
	return nil
}
