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

	"github.com/applepier/applepier/testbed/fleet"
)

// Limits that the operator documentation guarantees.
const (
	// faultMargin and recoveryTimeout are the values of Bounds.Contact and
	// Bounds.Recover.
	faultMargin     = 4 * time.Second
	recoveryTimeout = 15 * time.Second
	// drainBound is the gateways' bound where their settings name none.
	drainBound = 2 * time.Second
	// maxDescriptors is the file descriptor limit of a small entry VM.
	maxDescriptors = 4100
)

// Config configures the run of one seed.
type Config struct {
	Seed uint64
	// For is the duration of the faults; the recovery that follows takes up to
	// recoveryTimeout longer.
	For time.Duration
	// Gateways is the number of gateways.
	Gateways int
	// Gateway and Soak are the paths of the gateway program and of the program
	// whose commands "server" and "store" run the stand-in server and store.
	Gateway, Soak string
	// Earlier is the path of the gateway program of an earlier release, which every
	// other gateway runs; empty if all run the same.
	Earlier string
	// Evidence is the folder under which a failed seed's logs, settings, steps
	// and history are kept; the system's temporary folder if empty.
	Evidence string
	// Segments gives requests prompts, and sends waves of requests with a segment that crashes the
	// servers that answer it. Servers then crash for no other reason, but for kills at random.
	Segments bool
	// Failing has all servers fail for seconds at a time, while gateways are killed.
	Failing bool
	// Endless has one server at a time answer without an end.
	Endless bool
	// Keep keeps the evidence of a passing seed as well.
	Keep bool
}

// Result summarizes the run of a seed.
type Result struct {
	Seed   uint64
	Calls  int
	Served int
	// Owed is the number of calls that had to have a complete response; see
	// CountOwed.
	Owed int
	// Resumed is the number of streams that callers resumed, and WentOn the number of
	// those that went on.
	Resumed, WentOn int
	// Crashes is the number of servers that crashed under a segment.
	Crashes    int
	Steps      int
	Violations []Violation
	// Evidence is the folder that was kept; empty if it was removed.
	Evidence string
}

func (r Result) String() string {
	verdict := "passed"
	if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("FAILED, %d violations, evidence in %s", len(r.Violations), r.Evidence)
	}
	if r.Crashes > 0 {
		verdict = fmt.Sprintf("%d servers crashed by segments: %s", r.Crashes, verdict)
	}
	return fmt.Sprintf("seed %d: %d steps, %d calls, %d served, %d owed a response, %d of %d resumed streams went on: %s", r.Seed, r.Steps, r.Calls, r.Served, r.Owed, r.WentOn, r.Resumed, verdict)
}

// Run runs a seed and checks its history. An error means that the soak itself
// failed, not that a check did; the evidence is then kept as well.
func Run(ctx context.Context, c Config) (Result, error) {
	dir, err := os.MkdirTemp(c.Evidence, fmt.Sprintf("soak-%d-", c.Seed))
	if err != nil {
		return Result{}, errors.Wrap(err, "create evidence folder")
	}
	steps := Plan(c.Seed, c.Gateways, serverCount, c.For)
	if c.Segments {
		steps = withoutServerLifecycle(steps)
	}
	if c.Failing {
		steps = withFailingServers(steps, c.Seed, c.Gateways, serverCount, c.For)
	}
	if c.Endless {
		steps = withEndlessServers(steps, c.Seed, serverCount, c.For)
	}
	history, err := runSeed(ctx, c, dir, steps)
	result := Result{Seed: c.Seed, Calls: len(history.Calls), Owed: CountOwed(history), Steps: len(steps), Violations: Check(history)}
	for _, a := range history.Arrivals {
		if a.Crashed {
			result.Crashes++
		}
	}
	for _, call := range history.Calls {
		if isSuccess(call.Status) && call.Whole {
			result.Served++
		}
		if call.Resumes != "" {
			result.Resumed++
			if call.wentOn() {
				result.WentOn++
			}
		}
	}
	if err != nil || len(result.Violations) > 0 || c.Keep {
		result.Evidence = dir
		return result, errors.Join(err, writeEvidence(dir, "steps.json", steps), writeEvidence(dir, "history.json", history), writeEvidence(dir, "violations.json", result.Violations))
	}
	return result, os.RemoveAll(dir)
}

// writeEvidence writes a value as JSON to a file of the evidence folder.
func writeEvidence(dir, name string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), text, 0o600)
}

// runSeed runs the steps under load, then waits until every gateway serves again or
// its recovery timeout has passed.
func runSeed(ctx context.Context, c Config, dir string, steps []Step) (History, error) {
	h, err := newHarness(ctx, c, dir)
	defer h.close()
	if err != nil {
		return h.history, err
	}
	work, stop := context.WithCancel(ctx)
	defer stop()
	var workers sync.WaitGroup
	for n, g := range h.gateways {
		random := rand.New(rand.NewPCG(c.Seed, uint64(n)+1))
		coreFraction := coreFractions[random.IntN(len(coreFractions))]
		workers.Go(func() { fleet.EnforceCPUQuota(work, coreFraction, g.PID, g.setThrottled) })
		workers.Go(func() { h.sampleGateway(work, g) })
		for i := range callersPerGateway {
			loadCaller := &caller{
				name: fmt.Sprintf("c%d-%d", n, i), gateway: g.name, addr: g.frontProxy.addr(),
				random: rand.New(rand.NewPCG(c.Seed, uint64(n*callersPerGateway+i)+1<<32)), state: h.states, record: h.recordCall,
				others: h.otherGateways(n), prompts: c.Segments,
			}
			if c.Failing {
				loadCaller.failurePause = failurePause
			}
			workers.Go(func() { loadCaller.run(work) })
		}
	}
	workers.Go(func() { h.watchStalls(work) })
	if c.Segments {
		for _, s := range h.servers {
			workers.Go(func() { h.superviseServer(work, s) })
		}
		workers.Go(func() { h.sendDeadlyWaves(work) })
	}
	h.runSteps(work, steps)
	var probes sync.WaitGroup
	for _, g := range h.gateways {
		for _, kind := range []string{kindSafe, kindUnsafe, kindStream, kindOpen} {
			probes.Go(func() { h.probe(work, g, kind) })
		}
	}
	probes.Wait()
	stop()
	workers.Wait()
	history, err := h.collect(dir)
	return history, errors.Join(err, h.firstErr, ctx.Err())
}
