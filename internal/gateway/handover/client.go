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
	// progressTimeout bounds the wait for the first byte of a response and each pause within
	// it. If it expires, the requesting gateway tries another one.
	progressTimeout = time.Second
	// MaxDuration bounds a complete transfer that makes progress. The largest state takes seven
	// seconds on an otherwise idle link of 10 Mbit/s.
	MaxDuration = 20 * time.Second
	// maxStateBytes is the largest response that is read, in bytes.
	maxStateBytes = 8 << 20
)

// Client fetches state from other gateways.
type Client struct {
	httpClient http.Client
}

// NewClient returns a Client. It keeps no idle connections, because requests are rare.
func NewClient() *Client {
	dialer := dial.NewDialer(progressTimeout, progressTimeout)
	return &Client{httpClient: http.Client{
		Transport: dial.NewTransport(dialer, false),
	}}
}

// Get returns the state of the gateway at addr. It returns ErrUnreachable or ErrMalformed on
// failure.
func (c *Client) Get(ctx context.Context, addr string) (State, error) {
	var state State
	err := c.get(ctx, addr, statePath, &state)
	return state, err
}

// DesiredState returns the desired state, without the list of servers, of the gateway at addr.
// It is meant for gateways that could also read the store: if the document is too large it
// returns ErrTooLarge, and the store should be read instead. Other errors are those of
// Get.
func (c *Client) DesiredState(ctx context.Context, addr string) (State, error) {
	var state State
	err := c.get(ctx, addr, desiredStatePath, &state)
	return state, err
}

// Changes returns the changes of the list of backend servers after a position, from the gateway
// at addr; after position 0, the complete list, which gateways of earlier releases don't return.
// It returns ErrHistoryGap if that gateway doesn't know all of them, and otherwise ErrUnreachable
// or ErrMalformed on failure.
func (c *Client) Changes(ctx context.Context, addr string, after follow.Position) ([]follow.Delta[backend.Info], error) {
	var deltas []follow.Delta[backend.Info]
	err := c.get(ctx, addr, serverChangesPath+after.String(), &deltas)
	return deltas, err
}

// ChangesOrList is Changes or, if that gateway doesn't know all changes after the position, the complete
// list: a gateway that was partitioned for longer than histories reach must not depend on its own calls
// to the store.
func (c *Client) ChangesOrList(ctx context.Context, addr string, after follow.Position) ([]follow.Delta[backend.Info], error) {
	deltas, err := c.Changes(ctx, addr, after)
	if errors.Is(err, ErrHistoryGap) && after != 0 {
		return c.Changes(ctx, addr, 0)
	}
	return deltas, err
}

func (c *Client) get(ctx context.Context, addr, path string, result any) error {
	ctx, watchdog := stall.WithWatchdog(ctx, progressTimeout, MaxDuration)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(watchdog.Reader(io.LimitReader(resp.Body, maxStateBytes), progressTimeout))
	switch {
	case err != nil:
		return errors.Wrap(ErrUnreachable, err.Error())
	case resp.StatusCode == http.StatusGone:
		return ErrHistoryGap
	case resp.StatusCode == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case resp.StatusCode != http.StatusOK:
		return errors.Wrapf(ErrUnreachable, "status %d", resp.StatusCode)
	}
	if err := cbor.Unmarshal(body, result); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}
