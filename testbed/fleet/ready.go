package fleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// readyPoll is the pause between two looks at a starting process.
const readyPoll = 20 * time.Millisecond

// probeLimit bounds one look.
const probeLimit = 2 * time.Second

// readiness looks once whether a process takes work.
type readiness func(ctx context.Context) error

// wait polls until the process is ready, has ended or ctx is done.
func (r readiness) wait(ctx context.Context, name string, ended <-chan struct{}) error {
	for {
		probe, cancel := context.WithTimeout(ctx, probeLimit)
		err := r(probe)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-ended:
			return errors.Wrapf(ErrNotRunning, "%s ended before it was ready", name)
		case <-ctx.Done():
			return errors.Wrapf(err, "%s is not ready", name)
		case <-time.After(readyPoll):
		}
	}
}

// dialReady is met by a process that takes connections.
func dialReady(addr string) readiness {
	return func(ctx context.Context) error {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		return conn.Close()
	}
}

// httpReady is met by a process whose /readyz answers 200.
func httpReady(addr string) readiness {
	return func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return errors.Errorf("readyz: %s", response.Status)
		}
		return nil
	}
}
