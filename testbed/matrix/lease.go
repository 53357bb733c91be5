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

// SubjectLease is the lease under which orders are given, and one order: to
// load a model whose only engine has gone.
const SubjectLease Subject = "lease"

// Steps of a lease.
const (
	StepTaken   Step = "taken"
	StepRenewed Step = "renewed"
	// StepOrdered: the order is written and the agent has not read it.
	StepOrdered Step = "order-on-its-way"
)

// LeaseFaults lists what hits each step of a lease.
var LeaseFaults = []Kind{KillEntry, PauseEntry, KillAgent, PauseAgent, PlatformDown, LostAnswer, StopEntry}

// lostModel is the model that loses its only engine.
const (
	lostModel = "kuvaus-malli"
	classLost = "lost"
)

const (
	// leaseSpan is how long a holder stays away: until another one holds the
	// lease, which takes its 15 s and some.
	leaseSpan = 40 * time.Second
	// loadLimit is how long it may take until the model is served again.
	loadLimit = 2 * time.Minute
	// renewals is how many writes of the lease make it renewed.
	renewals = 3
)

// Keys of the platform's rows that are watched.
const (
	leaseKey    = "leases/" + orders.LeaseName
	orderPrefix = "orders/"
)

// fencedRow is the part of a lease's or an order's row that is read.
type fencedRow struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// leaseCell runs a cell whose subject is a lease.
func (r *rig) leaseCell(ctx context.Context, c Cell) error {
	stop := r.watchFences(ctx)
	defer stop()
	lost := r.fleet.Backends[engineCount]
	if err := lost.Agent.Kill(); err != nil {
		return err
	}
	if err := lost.Server.Kill(); err != nil {
		return err
	}
	at := place{rig: r}
	if err := r.awaitLease(ctx, c.Step, &at); err != nil {
		return err
	}
	before, err := r.readRow(ctx, leaseKey)
	if err != nil {
		return err
	}
	f, err := strike(ctx, c.Faults[0], at)
	if err != nil {
		return err
	}
	r.awaitSuccessor(ctx, f, before.Fence)
	if err := f.lift(ctx); err != nil {
		return err
	}
	r.probeLost(ctx)
	return r.collectOrders(ctx)
}

// awaitLease waits until the lease is at the step, and finds its holder and
// the agent that is ordered.
func (r *rig) awaitLease(ctx context.Context, step Step, at *place) error {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	reached := until(ctx, func() bool {
		row, version, err := r.row(ctx, leaseKey)
		if err != nil || !r.findHolder(row.Holder, at) {
			return false
		}
		switch step {
		case StepRenewed:
			return version >= renewals
		case StepOrdered:
			return r.findOrdered(ctx, at)
		}
		return true
	})
	if !reached {
		return errors.Errorf("lease did not reach step %s", step)
	}
	return nil
}

func (r *rig) findHolder(holder string, at *place) bool {
	name, _, _ := strings.Cut(holder, "/")
	for _, entry := range r.fleet.Entries {
		if entry.Name == name {
			at.entry = entry
			return true
		}
	}
	return false
}

func (r *rig) findOrdered(ctx context.Context, at *place) bool {
	for i, backend := range r.fleet.Backends {
		if _, _, err := r.row(ctx, orderPrefix+backend.VM.Name); err == nil {
			at.agent = i
			return true
		}
	}
	return false
}

// awaitSuccessor lets the fault last until another process holds the lease if
// its holder is away, and for the usual time otherwise.
func (r *rig) awaitSuccessor(ctx context.Context, f *fault, fence uint64) {
	span := faultSpan
	if f.kind == KillEntry || f.kind == PauseEntry {
		span = leaseSpan
	}
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	until(ctx, func() bool {
		row, err := r.readRow(ctx, leaseKey)
		return err == nil && row.Fence > fence
	})
}

// probeLost asks for the lost model until it is served.
func (r *rig) probeLost(ctx context.Context) {
	due := time.Now().Add(loadLimit)
	for n := 0; ; n++ {
		a := ask{class: classLost, model: lostModel, marker: r.mark(classLost), tokens: probeTokens, customer: customerSmall}
		call := a.send(ctx, r.fleet.Entries[n%entryCount])
		call.Probe = call.Told == history.ToldWhole || time.Now().After(due)
		r.recorder.Call(call)
		if call.Probe || !r.pause(ctx, nil) {
			return
		}
	}
}

// collectOrders notes what orders the engines have carried out.
func (r *rig) collectOrders(ctx context.Context) error {
	for _, backend := range r.fleet.Backends[:engineCount] {
		taken, err := backend.Server.Orders(ctx)
		if err != nil {
			return err
		}
		for _, order := range taken {
			r.recorder.Fence(history.FenceSeen{Place: "engine of " + backend.VM.Name, At: time.Now(), Fence: order.Fence})
		}
	}
	return nil
}

// watchFences notes the numbers in the rows of the lease and the orders.
func (r *rig) watchFences(ctx context.Context) (stop func()) {
	keys := []string{leaseKey}
	for _, backend := range r.fleet.Backends {
		keys = append(keys, orderPrefix+backend.VM.Name)
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for r.pause(ctx, nil) {
			for _, key := range keys {
				if row, err := r.readRow(ctx, key); err == nil {
					r.recorder.Fence(history.FenceSeen{Place: key, At: time.Now(), Fence: row.Fence})
				}
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (r *rig) readRow(ctx context.Context, key string) (fencedRow, error) {
	row, _, err := r.row(ctx, key)
	return row, err
}

func (r *rig) row(ctx context.Context, key string) (fencedRow, uint64, error) {
	stored, err := r.table.Get(ctx, key)
	if err != nil {
		return fencedRow{}, 0, err
	}
	var row fencedRow
	err = json.Unmarshal(stored.Value, &row)
	return row, stored.Version, err
}

func newTable(f *fleet.Fleet) storage.Table { return storage.NewHTTP(f.Platform.URL) }
