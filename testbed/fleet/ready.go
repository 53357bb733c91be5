package fleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// readyPollInterval is the interval between readiness checks of a starting process.
const readyPollInterval = 20 * time.Millisecond

// probeTimeout bounds one readiness check.
const probeTimeout = 2 * time.Second

// readinessCheck checks once whether a process is ready and returns nil if it is.
type readinessCheck func(ctx context.Context) error

// wait polls until the process is ready; it returns an error if the process exits or ctx is done.
func (r readinessCheck) wait(ctx context.Context, name string, exited <-chan struct{}) error {
	for {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err := r(probeCtx)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-exited:
			return errors.Wrapf(ErrNotRunning, "%s exited before it was ready", name)
		case <-ctx.Done():
			return errors.Wrapf(err, "%s is not ready", name)
		case <-time.After(readyPollInterval):
		}
	}
}

// checkDial returns a check that succeeds once the process accepts TCP connections.
func checkDial(addr string) readinessCheck {
	return func(ctx context.Context) error {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		return conn.Close()
	}
}

// checkReadyz returns a check that succeeds once /readyz returns status 200.
func checkReadyz(addr string) readinessCheck {
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
