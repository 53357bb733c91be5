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

// SubjectService is a plain service's call that must not be repeated.
const SubjectService Subject = "service"

// KillService kills the plain service; its record outlives it.
const KillService Kind = "kill-service"

// CutAnswer makes the plain service take the call and cut the connection.
const CutAnswer Kind = "cut-answer"

// ServiceSteps and ServiceFaults are those of a plain service's call.
var (
	ServiceSteps  = []Step{StepBeforeTicket, StepGranted, StepBodySent, StepStarted, StepAfterEnd}
	ServiceFaults = []Kind{
		KillEntry, KillAgent, PauseEntry, PauseAgent, Cut, Silent, SilentUp, SilentDown, Refuse,
		Delay, PlatformDown, LostAnswer, StopEntry, StopAgent, CutAnswer, KillService,
	}
)

const (
	serviceName  = "punnitus"
	classService = "weighing"
	// servicePath begins the path of each call; the marker follows.
	servicePath = "/dockets/"
	serviceBody = "17 t"
	// serviceSlowness leaves time between a call's effect and its answer.
	serviceSlowness = 400 * time.Millisecond
)

func serviceClass() targets.Class {
	return targets.Class{Name: classService, Tier: 3, Service: serviceName, FirstToken: 30 * time.Second}
}

func services() []fleet.BackendSpec {
	spec := fleet.BackendSpec{Kind: settings.BackendService, Serves: serviceName}
	return []fleet.BackendSpec{spec, spec}
}

// serviceCell runs a cell whose subject is a plain service's call.
func (r *rig) serviceCell(ctx context.Context, c Cell) error {
	if err := r.setServices(ctx, plain.Knobs{SlowMS: int(serviceSlowness.Milliseconds())}); err != nil {
		return err
	}
	at := place{rig: r, entry: r.pick(int(c.Seed))}
	reach := r.arrange(c.Step, classService)
	defer reach.release()
	marker, key := r.mark(classService), uuid.NewString()
	told := make(chan history.Call, 1)
	go func() { told <- r.callService(ctx, marker, key, at.entry) }()
	var err error
	if at.agent, err = r.awaitService(ctx, c.Step, marker, reach, told); err != nil {
		return err
	}
	call, err := r.strikeAll(ctx, c, at, reach, told)
	if err != nil {
		return err
	}
	for n := 0; n < repeats && call.Told != history.ToldWhole && ctx.Err() == nil; n++ {
		if entry := r.pick(n + 1); entry != nil {
			call = r.callService(ctx, marker, key, entry)
		}
	}
	r.probeService(ctx)
	return nil
}

// awaitService is await for a call, whose beginning the service's own record
// shows.
func (r *rig) awaitService(ctx context.Context, step Step, marker string, h *reach, told chan history.Call) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	if step != StepStarted && step != StepAfterEnd {
		return h.wait(ctx)
	}
	if step == StepAfterEnd {
		call := <-told
		told <- call
	}
	agent := -1
	if !until(ctx, func() bool { agent = r.servedAt(marker); return agent >= 0 }) {
		return 0, errors.Errorf("step %s of %s was not reached", step, marker)
	}
	return agent, nil
}

// servedAt finds the backend that took a call; -1 when none has.
func (r *rig) servedAt(marker string) int {
	for i, backend := range r.fleet.Backends {
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

func (r *rig) setServices(ctx context.Context, knobs plain.Knobs) error {
	for _, backend := range r.fleet.Backends {
		if backend.Server.Spec.Kind != settings.BackendService {
			continue
		}
		if err := backend.Server.SetServiceKnobs(ctx, knobs); err != nil {
			return err
		}
	}
	return nil
}

// callService makes a call and notes it.
func (r *rig) callService(ctx context.Context, marker, key string, entry *fleet.Entry) history.Call {
	call := sendService(ctx, marker, key, entry)
	r.recorder.Call(call)
	return call
}

func (r *rig) probeService(ctx context.Context) {
	due := time.Now().Add(recoverLimit)
	for n := 0; ; n++ {
		call := sendService(ctx, r.mark("probe-"+classService), "", r.fleet.Entries[n%entryCount])
		call.Probe = call.Told == history.ToldWhole || time.Now().After(due)
		r.recorder.Call(call)
		if call.Probe || !r.pause(ctx, nil) {
			return
		}
	}
}

func sendService(ctx context.Context, marker, key string, entry *fleet.Entry) history.Call {
	class := serviceClass()
	call := history.Call{
		Marker:         marker,
		Entry:          entry.Name,
		Class:          class.Name,
		Tier:           class.Tier,
		Customer:       customerLarge,
		IdempotencyKey: key,
		Serves:         serviceName,
		Expected:       plain.Answer(http.MethodPost, servicePath+marker, []byte(serviceBody)),
		Sent:           time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, callerLimit)
	defer cancel()
	if err := exchangeService(ctx, entry, &call); err != nil {
		call.Told, call.Detail = toldByError(ctx, err), err.Error()
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
	response, err := callers.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	call.Status = response.StatusCode
	call.RequestID = response.Header.Get(headerRequest)
	if response.StatusCode != http.StatusOK {
		return readRefusal(response, call)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, eventLimit))
	call.Text = string(text)
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	call.Told = history.ToldWhole
	return nil
}
