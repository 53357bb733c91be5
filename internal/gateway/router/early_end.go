package router

import "github.com/applepier/applepier/internal/gateway/exchange"

// EarlyEnd describes a response that ended with its connection before its request was written
// completely.
type EarlyEnd struct {
	RequestID string
	Server    string
	// Err is why the body counts as incomplete; nil if it counts as complete.
	Err error
}

// observeEarlyEnd reports a response that ended with its connection before its request was written.
func (c *call) observeEarlyEnd(response *exchange.Response, server string) {
	if err, early := response.EndedEarly(); early {
		c.router.Observer.ResponseEndedEarly(EarlyEnd{RequestID: c.params.ID, Server: server, Err: err})
	}
}
