package matrix

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/lease/orders"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/history"
)

// SubjectLease is the lease that is required to issue orders, together with one
// order: to load a model whose only engine is gone.
const SubjectLease Subject = "lease"

// Steps of a lease.
const (
	StepTaken   Step = "taken"
	StepRenewed Step = "renewed"
	// StepOrdered is reached when the order is stored and the agent has not read it.
	StepOrdered Step = "order-on-its-way"
)

// LeaseFaults lists the faults that are injected at each step of a lease.
var LeaseFaults = []FaultKind{KillEntry, PauseEntry, KillAgent, PauseAgent, PlatformDown, LostResponse, StopEntry}

// lostModel is the model that loses its only engine, classLost its class.
const (
	lostModel = "kuvaus-malli"
	classLost = "lost"
)

const (
	// successorTimeout bounds the wait for another holder of the lease, which
	// takes a little longer than the lease's duration of 15 s.
	successorTimeout = 40 * time.Second
	// modelLoadTimeout is how long it may take until the model is served again.
	modelLoadTimeout = 2 * time.Minute
	// minRenewedVersion is the lowest version of the lease's row at which the lease
	// counts as renewed.
	minRenewedVersion = 3
)

// Keys of the rows in the platform's table that are watched.
const (
	leaseKey    = "leases/" + orders.LeaseName
	orderPrefix = "orders/"
)

// fencingRow holds the fields of a lease's or an order's row that are read here.
type fencingRow struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
}

// runLeaseCell runs a cell whose subject is a lease.
func (h *harness) runLeaseCell(ctx context.Context, c Cell) error {
	stop := h.watchFencingTokens(ctx)
	defer stop()
	lost := h.fleet.Backends[engineCount]
	if err := lost.Agent.Kill(); err != nil {
		return err
	}
	if err := lost.Server.Kill(); err != nil {
		return err
	}
	loc := location{harness: h}
	if err := h.awaitLease(ctx, c.Step, &loc); err != nil {
		return err
	}
	before, err := h.readRow(ctx, leaseKey)
	if err != nil {
		return err
	}
	f, err := inject(ctx, c.Faults[0], loc)
	if err != nil {
		return err
	}
	h.awaitSuccessor(ctx, f, before.FencingToken)
	if err := f.clear(ctx); err != nil {
		return err
	}
	h.probeLostModel(ctx)
	return h.recordOrders(ctx)
}

// awaitLease waits until the lease has reached the step, and sets loc to its
// holder and, for StepOrdered, to the agent that the order is for.
func (h *harness) awaitLease(ctx context.Context, step Step, loc *location) error {
	ctx, cancel := context.WithTimeout(ctx, modelLoadTimeout)
	defer cancel()
	reached := pollUntil(ctx, func() bool {
		row, version, err := h.readVersionedRow(ctx, leaseKey)
		if err != nil || !h.findHolder(row.Holder, loc) {
			return false
		}
		switch step {
		case StepRenewed:
			return version >= minRenewedVersion
		case StepOrdered:
			return h.findOrderedAgent(ctx, loc)
		}
		return true
	})
	if !reached {
		return errors.Errorf("lease did not reach step %s within %s", step, modelLoadTimeout)
	}
	return nil
}

// findHolder sets loc to the entry that holds the lease and reports whether there
// is one. The part of holder before "/" is the entry's name.
func (h *harness) findHolder(holder string, loc *location) bool {
	name, _, _ := strings.Cut(holder, "/")
	for _, entry := range h.fleet.Entries {
		if entry.Name == name {
			loc.entry = entry
			return true
		}
	}
	return false
}

// findOrderedAgent sets loc to the agent that an order is stored for and reports
// whether there is one.
func (h *harness) findOrderedAgent(ctx context.Context, loc *location) bool {
	for i, backend := range h.fleet.Backends {
		if _, _, err := h.readVersionedRow(ctx, orderPrefix+backend.VM.Name); err == nil {
			loc.agent = i
			return true
		}
	}
	return false
}

// awaitSuccessor waits until another process holds the lease. If the fault does
// not stop the holder, the wait ends after the usual duration of a fault.
func (h *harness) awaitSuccessor(ctx context.Context, f *fault, token uint64) {
	timeout := faultDuration
	if f.kind == KillEntry || f.kind == PauseEntry {
		timeout = successorTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pollUntil(ctx, func() bool {
		row, err := h.readRow(ctx, leaseKey)
		return err == nil && row.FencingToken > token
	})
}

// probeLostModel calls the lost model until it is served or modelLoadTimeout has
// passed. Only the last call counts as a probe.
func (h *harness) probeLostModel(ctx context.Context) {
	deadline := time.Now().Add(modelLoadTimeout)
	for n := 0; ; n++ {
		request := callerRequest{class: classLost, model: lostModel, marker: h.newMarker(classLost), tokens: probeTokens, customer: customerSmall}
		call := request.send(ctx, h.fleet.Entries[n%entryCount])
		call.Probe = call.Outcome == history.OutcomeComplete || time.Now().After(deadline)
		h.recorder.Call(call)
		if call.Probe || !h.waitPollInterval(ctx, nil) {
			return
		}
	}
}

// recordOrders records the fencing tokens of the orders that the engines have
// executed.
func (h *harness) recordOrders(ctx context.Context) error {
	for _, backend := range h.fleet.Backends[:engineCount] {
		executed, err := backend.Server.Orders(ctx)
		if err != nil {
			return err
		}
		for _, order := range executed {
			h.recorder.FencingToken(history.FencingTokenReading{Resource: "engine of " + backend.VM.Name, At: time.Now(), FencingToken: order.FencingToken})
		}
	}
	return nil
}

// watchFencingTokens records the fencing tokens in the rows of the lease and the
// orders until stop is called.
func (h *harness) watchFencingTokens(ctx context.Context) (stop func()) {
	keys := []string{leaseKey}
	for _, backend := range h.fleet.Backends {
		keys = append(keys, orderPrefix+backend.VM.Name)
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for h.waitPollInterval(ctx, nil) {
			for _, key := range keys {
				if row, err := h.readRow(ctx, key); err == nil {
					h.recorder.FencingToken(history.FencingTokenReading{Resource: key, At: time.Now(), FencingToken: row.FencingToken})
				}
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (h *harness) readRow(ctx context.Context, key string) (fencingRow, error) {
	row, _, err := h.readVersionedRow(ctx, key)
	return row, err
}

// readVersionedRow returns a row and its version.
func (h *harness) readVersionedRow(ctx context.Context, key string) (fencingRow, uint64, error) {
	stored, err := h.table.Get(ctx, key)
	if err != nil {
		return fencingRow{}, 0, err
	}
	var row fencingRow
	err = json.Unmarshal(stored.Value, &row)
	return row, stored.Version, err
}

func newTable(f *fleet.Fleet) storage.Table { return storage.NewHTTPClient(f.Platform.URL) }
