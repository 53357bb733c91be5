package router

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/gateway/exchange"
)

// EarlyEnd describes a response that ended with its connection before its request was written
// completely.
type EarlyEnd struct {
	RequestID string
	Server    string
	// WriteErr is the error of the connection that ended writing the request; nil if the write was
	// still in progress.
	WriteErr error
	// Complete is set if the body counts as complete.
	Complete bool
}

// observeEarlyEnd reports a response that ended with its connection before its request was written.
func (c *call) observeEarlyEnd(response *exchange.Response, server string) {
	err := response.WriteErr()
	if err == nil {
		return
	}
	end := EarlyEnd{RequestID: c.params.ID, Server: server, Complete: response.Complete()}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		end.WriteErr = err
	}
	c.router.Observer.ResponseEndedEarly(end)
}
