package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/testbed/engine"
)

// progressInterval is the time between calls of Options.Progress.
const progressInterval = time.Second

// runner is the state of one call of Run.
type runner struct {
	options  Options
	salt     string
	sender   *requestSender
	engines  *engineClient
	arrivals []arrival
	bodies   [][]byte

	started time.Time
	sent    atomic.Int64
	ended   atomic.Int64
	phase   atomic.Int64

	// mu guards records.
	mu      sync.Mutex
	records []requestRecord
}

// Run sends all requests of a scenario and reports their results. The load is
// open loop: each request is sent at its scheduled time, independently of earlier
// responses. Run returns after the last response. It fails if ctx ends, if there
// are no entries, or if an engine's test API fails; failed requests are part of
// the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	r, err := newRunner(options)
	if err != nil {
		return nil, err
	}
	if err := r.sendAll(ctx); err != nil {
		return nil, err
	}
	elapsed := time.Since(r.started)
	runs, err := r.engines.awaitRecords(ctx)
	if err != nil {
		return nil, err
	}
	return newReport(options, elapsed, r.records, runs), nil
}

func newRunner(options Options) (*runner, error) {
	if len(options.Entries) == 0 {
		return nil, errors.New("no entries: at least one base URL is required")
	}
	if options.RequestTimeout == 0 {
		options.RequestTimeout = DefaultRequestTimeout
	}
	if options.MaxRetryAfter == 0 {
		options.MaxRetryAfter = options.RequestTimeout
	}
	r := &runner{
		options:  options,
		salt:     uuid.NewString(),
		sender:   newRequestSender(options.Scenario, options.Entries),
		engines:  newEngineClient(options.Engines),
		arrivals: schedule(options.Scenario, options.Seed),
	}
	for _, a := range r.arrivals {
		body, err := options.Scenario.requestBody(a, r.salt)
		if err != nil {
			return nil, errors.Wrap(err, "build request")
		}
		r.bodies = append(r.bodies, body)
	}
	return r, nil
}

// sendAll sends every request at its scheduled time and waits for all responses.
func (r *runner) sendAll(ctx context.Context) error {
	defer r.sender.client.CloseIdleConnections()
	var pending sync.WaitGroup
	r.started = time.Now()
	stopReports := r.startProgressReports()
	defer stopReports()
	phase := -1
	for i, a := range r.arrivals {
		if !pause.Sleep(ctx, time.Until(r.started.Add(a.offset))) {
			return ctx.Err()
		}
		if a.phase != phase {
			phase = a.phase
			r.phase.Store(int64(phase))
			if err := r.engines.setFaults(ctx, r.options.Scenario.Shape.Phases[phase].Faults); err != nil {
				return err
			}
		}
		r.sent.Add(1)
		pending.Go(func() { r.sendRequest(ctx, a, r.bodies[i]) })
	}
	pending.Wait()
	return r.engines.setFaults(ctx, nil)
}

// sendRequest sends one request, retries it if it was refused and Options ask
// for that, and records the results.
func (r *runner) sendRequest(ctx context.Context, a arrival, body []byte) {
	request := requestRecord{arrival: a, fingerprint: engine.Fingerprint(body)}
	request.result = r.sendOnce(ctx, a, body, r.started.Add(a.offset))
	if r.options.RetryRefused && request.result.Outcome == OutcomeRefused && request.result.RetryAfter <= r.options.MaxRetryAfter {
		request.retry = r.sendRetry(ctx, a, body, request.result.RetryAfter)
	}
	r.ended.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, request)
}

func (r *runner) sendRetry(ctx context.Context, a arrival, body []byte, delay time.Duration) *Result {
	scheduledAt := time.Now().Add(delay)
	if !pause.Sleep(ctx, time.Until(scheduledAt)) {
		return nil
	}
	result := r.sendOnce(ctx, a, body, scheduledAt)
	return &result
}

func (r *runner) sendOnce(ctx context.Context, a arrival, body []byte, scheduledAt time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, r.options.RequestTimeout)
	defer cancel()
	return r.sender.send(ctx, a, body, scheduledAt)
}

// startProgressReports calls Options.Progress at every progressInterval until
// the returned function is called.
func (r *runner) startProgressReports() func() {
	if r.options.Progress == nil {
		return func() {}
	}
	stop := make(chan struct{})
	var reports sync.WaitGroup
	reports.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				r.options.Progress(r.progress())
			}
		}
	})
	return func() {
		close(stop)
		reports.Wait()
	}
}

func (r *runner) progress() Progress {
	scenario := r.options.Scenario
	return Progress{
		Elapsed: time.Since(r.started),
		Total:   scenario.Duration(),
		Phase:   scenario.Shape.Phases[r.phase.Load()].Name,
		Sent:    int(r.sent.Load()),
		Ended:   int(r.ended.Load()),
	}
}
