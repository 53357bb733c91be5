package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/cloud"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/ports"
	"github.com/applepier/applepier/testbed/rowstore"
)

// storeProcess is the platform's store.
type storeProcess struct {
	*fleet.Process
	listen, duties, control string
}

func newStore(programs *fleet.Programs, program string) (*storeProcess, error) {
	s := &storeProcess{}
	for _, addr := range []*string{&s.listen, &s.duties, &s.control} {
		var err error
		if *addr, err = ports.Free(); err != nil {
			return nil, err
		}
	}
	s.Process = programs.New("store", func() string { return s.control }, program, "store", "--listen", s.listen, "--duties", s.duties, "--control", s.control)
	return s, nil
}

// put writes a row.
func (s *storeProcess) put(ctx context.Context, table, key string, value []byte) error {
	_, err := do(ctx, http.MethodPost, "http://"+s.control+pathPut+"?table="+table+"&key="+key, value)
	return err
}

// remove drops a row.
func (s *storeProcess) remove(ctx context.Context, table, key string) error {
	_, err := do(ctx, http.MethodPost, "http://"+s.control+pathRemove+"?table="+table+"&key="+key, nil)
	return err
}

// fault sets what becomes of calls.
func (s *storeProcess) fault(ctx context.Context, f rowstore.Fault) error {
	_, err := do(ctx, http.MethodPost, fmt.Sprintf("http://%s%s?fault=%d", s.control, pathFault, f), nil)
	return err
}

// forget drops the history.
func (s *storeProcess) forget(ctx context.Context) error {
	_, err := do(ctx, http.MethodPost, "http://"+s.control+pathForget, nil)
	return err
}

// order has the store or the platform do something that needs no more words.
func (s *storeProcess) order(ctx context.Context, path string) error {
	_, err := do(ctx, http.MethodPost, "http://"+s.control+path, nil)
	return err
}

// dutiesFault sets what becomes of the duties' calls.
func (s *storeProcess) dutiesFault(ctx context.Context, f cloud.Fault) error {
	return s.order(ctx, fmt.Sprintf("%s?fault=%d", pathCloud, f))
}

// judged is what the platform says of the duties' calls.
func (s *storeProcess) judged(ctx context.Context) (Duties, error) {
	var d Duties
	text, err := do(ctx, http.MethodGet, "http://"+s.control+pathBroken, nil)
	if err != nil {
		return d, err
	}
	return d, json.Unmarshal([]byte(text), &d)
}

// do makes a call on a connection of its own, so that none rests at a process
// that is killed, and returns the answer's body.
func do(ctx context.Context, method, url string, body []byte) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return "", errors.Errorf("%s: %s", url, resp.Status)
	}
	return string(text), err
}
