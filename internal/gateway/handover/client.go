package handover

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/dial"
	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/gateway/follow"
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
	var state State
	err := c.get(ctx, addr, statePath, &state)
	return state, err
}

// Targets returns the desired state of the gateway at an address, without servers, for
// a gateway that could ask the store: ErrTooLarge where it is to do that.
func (c *Client) Targets(ctx context.Context, addr string) (State, error) {
	var state State
	err := c.get(ctx, addr, targetsPath, &state)
	return state, err
}

// Changes returns what changed in the list of backend servers after a position, by the
// gateway at an address; ErrGap if it doesn't know all of it, ErrUnreachable or ErrForm.
func (c *Client) Changes(ctx context.Context, addr string, after follow.Position) ([]follow.Step[backend.Info], error) {
	var steps []follow.Step[backend.Info]
	err := c.get(ctx, addr, changesPath+after.String(), &steps)
	return steps, err
}

func (c *Client) get(ctx context.Context, addr, path string, out any) error {
	ctx, guard := stall.New(ctx, timeout, Longest)
	defer guard.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(guard.Reader(io.LimitReader(resp.Body, maxState), timeout))
	switch {
	case err != nil:
		return errors.Wrap(ErrUnreachable, err.Error())
	case resp.StatusCode == http.StatusGone:
		return ErrGap
	case resp.StatusCode == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case resp.StatusCode != http.StatusOK:
		return errors.Wrapf(ErrUnreachable, "status %d", resp.StatusCode)
	}
	if err := cbor.Unmarshal(body, out); err != nil {
		return errors.Wrap(ErrForm, err.Error())
	}
	return nil
}
