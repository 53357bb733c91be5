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

// storeProcess is the process of the stand-in platform and its store.
type storeProcess struct {
	*fleet.Process
	listenAddr, dutiesAddr, controlAddr string
	// faults are those of the store, and dutiesFaults those of the usage reporting API.
	faults       faultStack[rowstore.Fault]
	dutiesFaults faultStack[cloud.Fault]
}

// newStore creates the store's process without starting it.
func newStore(programs *fleet.ProcessGroup, program string) (*storeProcess, error) {
	s := &storeProcess{}
	s.faults.apply, s.dutiesFaults.apply = s.setFault, s.setDutiesFault
	for _, addr := range []*string{&s.listenAddr, &s.dutiesAddr, &s.controlAddr} {
		var err error
		if *addr, err = ports.Reserve(); err != nil {
			return nil, err
		}
	}
	s.Process = programs.NewProcess("store", func() string { return s.controlAddr }, program, "store", "--listen", s.listenAddr, "--duties", s.dutiesAddr, "--control", s.controlAddr)
	return s, nil
}

// put writes a row.
func (s *storeProcess) put(ctx context.Context, table, key string, value []byte) error {
	_, err := doRequest(ctx, http.MethodPost, "http://"+s.controlAddr+pathPut+"?table="+table+"&key="+key, value)
	return err
}

// remove deletes a row.
func (s *storeProcess) remove(ctx context.Context, table, key string) error {
	_, err := doRequest(ctx, http.MethodPost, "http://"+s.controlAddr+pathRemove+"?table="+table+"&key="+key, nil)
	return err
}

// setFault sets how the store responds to calls.
func (s *storeProcess) setFault(ctx context.Context, f rowstore.Fault) error {
	return s.control(ctx, fmt.Sprintf("%s?fault=%d", pathFault, f))
}

// truncateHistory discards the store's change history.
func (s *storeProcess) truncateHistory(ctx context.Context) error {
	_, err := doRequest(ctx, http.MethodPost, "http://"+s.controlAddr+pathTruncate, nil)
	return err
}

// control posts to a control path that takes no body.
func (s *storeProcess) control(ctx context.Context, path string) error {
	_, err := doRequest(ctx, http.MethodPost, "http://"+s.controlAddr+path, nil)
	return err
}

// setDutiesFault sets how the platform responds to usage reporting calls.
func (s *storeProcess) setDutiesFault(ctx context.Context, f cloud.Fault) error {
	return s.control(ctx, fmt.Sprintf("%s?fault=%d", pathDutiesFault, f))
}

// dutiesReport returns the platform's record of the usage reporting calls.
func (s *storeProcess) dutiesReport(ctx context.Context) (Duties, error) {
	var d Duties
	text, err := doRequest(ctx, http.MethodGet, "http://"+s.controlAddr+pathDutiesReport, nil)
	if err != nil {
		return d, err
	}
	return d, json.Unmarshal([]byte(text), &d)
}

// doRequest sends a request over a new connection, so that none stays idle at a
// process that is killed. It returns the response body, or an error for any status
// but 200.
func doRequest(ctx context.Context, method, url string, body []byte) (string, error) {
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
