package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// What is promised on the operators' pages.
const (
	contact       = 4 * time.Second
	recoverWithin = 15 * time.Second
	// descriptors is a small entry VM's limit.
	descriptors = 4100
)

// Config says what is played.
type Config struct {
	Seed     uint64
	For      time.Duration
	Gateways int
	// Gateway and Soak are the programs: the gateway's, and the one that serves
	// the stand-ins by its commands "server" and "store".
	Gateway, Soak string
	// Evidence is where a failed seed's logs, settings, steps and history are
	// kept; a temporary folder if empty.
	Evidence string
	// Keep keeps it for a seed that holds as well.
	Keep bool
}

// Result is what came of a seed.
type Result struct {
	Seed       uint64
	Calls      int
	Served     int
	Owed       int
	Steps      int
	Violations []Violation
	// Evidence is the folder of a failed seed.
	Evidence string
}

func (r Result) String() string {
	verdict := "holds"
	if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("FAILED, %d violations, evidence in %s", len(r.Violations), r.Evidence)
	}
	return fmt.Sprintf("seed %d: %d steps, %d calls, %d served, %d judged as owed an answer: %s", r.Seed, r.Steps, r.Calls, r.Served, r.Owed, verdict)
}

// Run plays a seed and judges it. An error is the soak's own, and keeps the
// evidence as well.
func Run(ctx context.Context, c Config) (Result, error) {
	dir, err := os.MkdirTemp(c.Evidence, fmt.Sprintf("soak-%d-", c.Seed))
	if err != nil {
		return Result{}, errors.Wrap(err, "folder for evidence")
	}
	steps := Plan(c.Seed, c.Gateways, servers, c.For)
	history, err := play(ctx, c, dir, steps)
	result := Result{Seed: c.Seed, Calls: len(history.Calls), Owed: Owed(history), Steps: len(steps), Violations: Check(history)}
	for _, call := range history.Calls {
		if success(call.Status) && call.Whole {
			result.Served++
		}
	}
	if err != nil || len(result.Violations) > 0 || c.Keep {
		result.Evidence = dir
		return result, errors.Join(err, keep(dir, "steps.json", steps), keep(dir, "history.json", history), keep(dir, "violations.json", result.Violations))
	}
	return result, os.RemoveAll(dir)
}

func keep(dir, name string, what any) error {
	text, err := json.MarshalIndent(what, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), text, 0o600)
}

// play plays the steps under callers, then waits until all is served again.
func play(ctx context.Context, c Config, dir string, steps []Step) (History, error) {
	r, err := newRig(ctx, c, dir)
	defer r.end()
	if err != nil {
		return r.history, err
	}
	work, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	for n, g := range r.gateways {
		random := rand.New(rand.NewPCG(c.Seed, uint64(n)+1))
		part := parts[random.IntN(len(parts))]
		all.Go(func() { keepQuota(work, g, part) })
		all.Go(func() { r.watch(work, g) })
		for i := range callersEach {
			caller := &caller{
				name: fmt.Sprintf("c%d-%d", n, i), gateway: g.name, addr: g.front.addr(),
				random: rand.New(rand.NewPCG(c.Seed, uint64(n*callersEach+i)+1<<32)), state: r.state, took: r.took,
			}
			all.Go(func() { caller.run(work) })
		}
	}
	r.trouble(work, steps)
	var probes sync.WaitGroup
	for _, g := range r.gateways {
		for _, kind := range []string{kindSafe, kindUnsafe, kindStream, kindOpen} {
			probes.Go(func() { r.probe(work, g, kind) })
		}
	}
	probes.Wait()
	stop()
	all.Wait()
	history, err := r.collect(dir)
	return history, errors.Join(err, r.failed, ctx.Err())
}
