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
	// shutdownTimeout is how long streams in progress may take to end.
	shutdownTimeout = 30 * time.Second
	// headerTimeout bounds reading a request's headers.
	headerTimeout = 10 * time.Second
)

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "host:port to listen on"}
}

// serve answers on addr until ctx ends, and then ends what is in progress.
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
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(limit); err != nil {
		_ = server.Close()
		return errors.Wrap(err, "streams did not end in time")
	}
	return nil
}
