package matrix

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
	"github.com/applepier/applepier/testbed/plain"
)

// SubjectService is a call of a plain service that must not be repeated.
const SubjectService Subject = "service"

// KillService kills the plain service; its record of calls survives.
const KillService FaultKind = "kill-service"

// CutResponse makes the plain service execute the call and close the connection
// before the response.
const CutResponse FaultKind = "cut-answer"

// ServiceSteps and ServiceFaults list the steps of a plain service's call and the
// faults that are injected at each.
var (
	ServiceSteps  = []Step{StepBeforeTicket, StepGranted, StepBodySent, StepStarted, StepAfterEnd}
	ServiceFaults = []FaultKind{
		KillEntry, KillAgent, PauseEntry, PauseAgent, Cut, Silent, SilentUp, SilentDown, Refuse,
		Delay, PlatformDown, LostResponse, StopEntry, StopAgent, CutResponse, KillService,
	}
)

const (
	serviceName  = "punnitus"
	classService = "weighing"
	// servicePath is the prefix of each call's path; the marker follows it.
	servicePath = "/dockets/"
	serviceBody = "17 t"
	// serviceDelay separates a call's effect from its response.
	serviceDelay = 400 * time.Millisecond
)

func serviceClass() targets.Class {
	return targets.Class{Name: classService, Tier: 3, Service: serviceName, FirstToken: 30 * time.Second}
}

func services() []fleet.BackendSpec {
	spec := fleet.BackendSpec{Kind: settings.BackendService, Serves: serviceName}
	return []fleet.BackendSpec{spec, spec}
}

// runServiceCell runs a cell whose subject is a plain service's call.
func (h *harness) runServiceCell(ctx context.Context, c Cell) error {
	if err := h.setServiceKnobs(ctx, plain.Knobs{SlowMS: int(serviceDelay.Milliseconds())}); err != nil {
		return err
	}
	loc := location{harness: h, entry: h.pickEntry(int(c.Seed))}
	b := h.setBreakpoint(c.Step, classService)
	defer b.release()
	marker, key := h.newMarker(classService), uuid.NewString()
	done := make(chan history.Call, 1)
	go func() { done <- h.callService(ctx, marker, key, loc.entry) }()
	var err error
	if loc.agent, err = h.awaitServiceStep(ctx, c.Step, marker, b, done); err != nil {
		return err
	}
	call, err := h.injectAtStep(ctx, c, loc, b, done)
	if err != nil {
		return err
	}
	for n := 0; n < maxRetries && call.Outcome != history.OutcomeComplete && ctx.Err() == nil; n++ {
		if entry := h.pickEntry(n + 1); entry != nil {
			call = h.callService(ctx, marker, key, entry)
		}
	}
	h.probeService(ctx)
	return nil
}

// awaitServiceStep is awaitStep for a call of a plain service, whose start is read
// from the service's own record.
func (h *harness) awaitServiceStep(ctx context.Context, step Step, marker string, b *breakpoint, done chan history.Call) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if step != StepStarted && step != StepAfterEnd {
		return b.wait(ctx)
	}
	if step == StepAfterEnd {
		call := <-done
		done <- call
	}
	agent := -1
	if !pollUntil(ctx, func() bool { agent = h.servedAt(marker); return agent >= 0 }) {
		return 0, errors.Errorf("call %s did not reach step %s within %s", marker, step, stepTimeout)
	}
	return agent, nil
}

// servedAt returns the index of the backend that recorded a call, or -1 if none
// has.
func (h *harness) servedAt(marker string) int {
	for i, backend := range h.fleet.Backends {
		if backend.Server.Spec.Kind != settings.BackendService {
			continue
		}
		calls, err := backend.Server.Calls()
		if err != nil {
			continue
		}
		for _, call := range calls {
			if strings.HasSuffix(call.Path, "/"+marker) {
				return i
			}
		}
	}
	return -1
}

// setServiceKnobs sets the knobs of all plain services.
func (h *harness) setServiceKnobs(ctx context.Context, knobs plain.Knobs) error {
	for _, backend := range h.fleet.Backends {
		if backend.Server.Spec.Kind != settings.BackendService {
			continue
		}
		if err := backend.Server.SetServiceKnobs(ctx, knobs); err != nil {
			return err
		}
	}
	return nil
}

// callService calls the plain service and records the call.
func (h *harness) callService(ctx context.Context, marker, key string, entry *fleet.Entry) history.Call {
	call := sendService(ctx, marker, key, entry)
	h.recorder.Call(call)
	return call
}

// probeService calls the plain service until it is served or recoveryTimeout has
// passed. Only the last call counts as a probe.
func (h *harness) probeService(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	for n := 0; ; n++ {
		call := sendService(ctx, h.newMarker("probe-"+classService), "", h.fleet.Entries[n%entryCount])
		call.Probe = call.Outcome == history.OutcomeComplete || time.Now().After(deadline)
		h.recorder.Call(call)
		if call.Probe || !h.waitPollInterval(ctx, nil) {
			return
		}
	}
}

// sendService sends a call to the plain service through an entry and returns it
// as the caller saw it.
func sendService(ctx context.Context, marker, key string, entry *fleet.Entry) history.Call {
	class := serviceClass()
	call := history.Call{
		Marker:         marker,
		Entry:          entry.Name,
		Class:          class.Name,
		Tier:           class.Tier,
		Customer:       customerLarge,
		IdempotencyKey: key,
		Service:        serviceName,
		Expected:       plain.Response(http.MethodPost, servicePath+marker, []byte(serviceBody)),
		Sent:           time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := exchangeService(ctx, entry, &call); err != nil {
		call.Outcome, call.Detail = outcomeOfError(ctx, err), err.Error()
	}
	call.Done = time.Now()
	return call
}

func exchangeService(ctx context.Context, entry *fleet.Entry, call *history.Call) error {
	url := entry.URL + "/services/" + serviceName + servicePath + call.Marker
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(serviceBody))
	if err != nil {
		return err
	}
	request.Header.Set(headerClass, call.Class)
	request.Header.Set(headerCustomer, call.Customer)
	if call.IdempotencyKey != "" {
		request.Header.Set(headerKey, call.IdempotencyKey)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	call.Status = response.StatusCode
	call.RequestID = response.Header.Get(headerRequest)
	if response.StatusCode != http.StatusOK {
		return readErrorResponse(response, call)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	call.Text = string(text)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	call.Outcome = history.OutcomeComplete
	return nil
}
