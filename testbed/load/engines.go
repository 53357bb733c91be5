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
	// engineTimeout bounds one call of an engine's test API.
	engineTimeout = 10 * time.Second
	// settleTimeout is how long engines get to end runs whose callers have
	// gone, before the record is taken as it is.
	settleTimeout = 5 * time.Second
	settleCheck   = 100 * time.Millisecond
)

// engineAPI is the engines' test API: faults and the record of runs.
type engineAPI struct {
	urls   []string
	client *http.Client
}

func newEngineAPI(urls []string) *engineAPI {
	return &engineAPI{urls: urls, client: &http.Client{Timeout: engineTimeout}}
}

// faultKnobs are the knobs that a Fault sets.
type faultKnobs struct {
	Slow    float64 `json:"slow"`
	Foreign int     `json:"foreign"`
}

// setFaults puts the faults of a phase into effect and ends all others'.
func (e *engineAPI) setFaults(ctx context.Context, faults []Fault) error {
	all := make([]faultKnobs, len(e.urls))
	for _, fault := range faults {
		if fault.Engine < len(all) {
			all[fault.Engine] = faultKnobs{Slow: fault.Slow, Foreign: fault.Foreign}
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

// settled waits until the engines have ended all runs, up to a time, and
// returns their records.
func (e *engineAPI) settled(ctx context.Context) ([]engine.Record, error) {
	deadline := time.Now().Add(settleTimeout)
	for {
		records, err := e.records(ctx)
		if err != nil || allEnded(records) || time.Now().After(deadline) {
			return records, err
		}
		time.Sleep(settleCheck)
	}
}

func (e *engineAPI) records(ctx context.Context) ([]engine.Record, error) {
	var all []engine.Record
	for _, url := range e.urls {
		var records []engine.Record
		if err := e.call(ctx, http.MethodGet, url+"/record", nil, &records); err != nil {
			return nil, errors.Wrap(err, "read record of runs")
		}
		all = append(all, records...)
	}
	return all, nil
}

func allEnded(records []engine.Record) bool {
	for _, r := range records {
		if r.Ended == nil {
			return false
		}
	}
	return true
}

func (e *engineAPI) call(ctx context.Context, method, url string, body []byte, result any) error {
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
		return errors.Errorf("status %d", resp.StatusCode)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(result)
}
