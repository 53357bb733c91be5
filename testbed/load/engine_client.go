package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/engine"
)

const (
	// engineTimeout is the timeout of one call to an engine's test API.
	engineTimeout = 10 * time.Second
	// runEndTimeout is the time that engines get to end runs whose callers
	// have disconnected. After it the records are used as they are.
	runEndTimeout      = 5 * time.Second
	runEndPollInterval = 100 * time.Millisecond
)

// engineClient calls the test API of the stand-in engines: fault injection and the
// records of runs.
type engineClient struct {
	urls   []string
	client *http.Client
}

func newEngineClient(urls []string) *engineClient {
	return &engineClient{urls: urls, client: &http.Client{Timeout: engineTimeout}}
}

// faultSettings are the fields of an engine's knobs that a Fault sets.
type faultSettings struct {
	Slowdown        float64 `json:"slow"`
	ExternalStreams int     `json:"foreign"`
}

// setFaults sets the slowdown and the external streams of every engine to those
// of its fault, and resets them on engines without a fault. If an engine has
// several faults, the last one applies. Other knobs stay as they are.
func (e *engineClient) setFaults(ctx context.Context, faults []Fault) error {
	all := make([]faultSettings, len(e.urls))
	for _, fault := range faults {
		if fault.Engine < len(all) {
			all[fault.Engine] = faultSettings{Slowdown: fault.Slowdown, ExternalStreams: fault.ExternalStreams}
		}
	}
	for i, url := range e.urls {
		body, err := json.Marshal(all[i])
		if err != nil {
			return errors.Wrap(err, "encode faults")
		}
		if err := e.call(ctx, http.MethodPut, url+"/knobs", body, nil); err != nil {
			return errors.Wrap(err, "set faults")
		}
	}
	return nil
}

// awaitRecords waits until all runs have ended, for runEndTimeout at most, and
// returns the records of all engines.
func (e *engineClient) awaitRecords(ctx context.Context) ([]engine.RunRecord, error) {
	deadline := time.Now().Add(runEndTimeout)
	for {
		records, err := e.records(ctx)
		if err != nil || allEnded(records) || time.Now().After(deadline) {
			return records, err
		}
		time.Sleep(runEndPollInterval)
	}
}

func (e *engineClient) records(ctx context.Context) ([]engine.RunRecord, error) {
	var all []engine.RunRecord
	for _, url := range e.urls {
		var records []engine.RunRecord
		if err := e.call(ctx, http.MethodGet, url+"/record", nil, &records); err != nil {
			return nil, errors.Wrap(err, "read records of runs")
		}
		all = append(all, records...)
	}
	return all, nil
}

func allEnded(records []engine.RunRecord) bool {
	for _, r := range records {
		if r.Ended == nil {
			return false
		}
	}
	return true
}

// call sends a request with a JSON body, which may be nil, and decodes the JSON
// response into result unless that is nil. A status other than 200 is an error.
func (e *engineClient) call(ctx context.Context, method, url string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(result)
}
