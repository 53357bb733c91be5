package handover

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/dial"
	"github.com/applepier/applepier/internal/stall"
)

const (
	// timeout bounds the wait for an answer and each pause in it; a gateway that
	// doesn't answer is left for another.
	timeout = time.Second
	// Longest bounds a handover that goes on coming: the largest state takes seven
	// seconds on a link of 10 Mbit/s that carries nothing else.
	Longest = 20 * time.Second
	// maxState bounds a state in bytes.
	maxState = 8 << 20
)

// Client asks other gateways for their state.
type Client struct {
	http http.Client
}

// NewClient returns a Client. Connections are not kept: it asks seldom.
func NewClient() *Client {
	dialer := dial.Dialer(timeout, timeout)
	return &Client{http: http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true},
	}}
}

// Get returns the state of the gateway at an address; ErrUnreachable or ErrForm.
func (c *Client) Get(ctx context.Context, addr string) (State, error) {
	ctx, guard := stall.New(ctx, timeout, Longest)
	defer guard.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return State{}, errors.Wrap(ErrUnreachable, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return State{}, errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(guard.Reader(io.LimitReader(resp.Body, maxState), timeout))
	switch {
	case err != nil:
		return State{}, errors.Wrap(ErrUnreachable, err.Error())
	case resp.StatusCode != http.StatusOK:
		return State{}, errors.Wrapf(ErrUnreachable, "status %d", resp.StatusCode)
	}
	var state State
	if err := cbor.Unmarshal(body, &state); err != nil {
		return State{}, errors.Wrap(ErrForm, err.Error())
	}
	return state, nil
}
