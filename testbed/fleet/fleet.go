// Package fleet starts the system as real processes on 127.0.0.1, for the
// demo, the load tool and the fault matrix: the stand-in platform, backend
// servers with their agents, and entries. Each process can be killed, paused,
// continued, told to stop and started again. Start reading at Start.
package fleet

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/testbed/ports"
)

// stopLimit is how long Close waits for a process to end by itself.
const stopLimit = 5 * time.Second

// Fleet is a running system. Its processes are reached by its fields.
type Fleet struct {
	// Platform is the stand-in platform.
	Platform *Platform
	// Entries are the entries, in the order of their numbers.
	Entries []*Entry
	// Backends are the backend servers with their agents, in the order of
	// Options.Backends.
	Backends []*Backend
	// OperatorKey is the key of the administration API.
	OperatorKey string

	systemKey string
	options   Options
	dir       string
	ownBuild  bool
	launcher  *launcher
	keys      keyFiles

	mu        sync.Mutex
	processes []*Process
	addrs     []string
}

// Start builds the programs unless options name them already, starts the
// fleet, registers its VMs, writes the classes and waits until all is ready.
// On an error all that was started is ended again.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{options: options, OperatorKey: uuid.NewString(), systemKey: uuid.NewString(), launcher: newLauncher()}
	if err := f.start(ctx); err != nil {
		err = errors.Wrap(err, f.tails(startFailureLines))
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.prepare(ctx); err != nil {
		return err
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.startBackends(ctx); err != nil {
		return err
	}
	return f.startEntries(ctx)
}

func (f *Fleet) prepare(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "applepier-fleet-")
	if err != nil {
		return errors.Wrap(err, "folder for logs and settings")
	}
	f.dir = dir
	if f.options.Binaries == nil {
		f.ownBuild = true
		if f.options.Binaries, err = Build(ctx); err != nil {
			return err
		}
	}
	f.keys, err = writeKeys(dir, f.OperatorKey, f.systemKey)
	return err
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	addr, err := f.newAddr()
	if err != nil {
		return err
	}
	process := f.newProcess("platform", addr, f.options.Binaries.StandIn, "platform", "--listen", addr)
	f.Platform = &Platform{Process: process, URL: "http://" + addr}
	if err := process.start(ctx); err != nil {
		return err
	}
	if len(f.options.Classes) == 0 {
		return nil
	}
	return f.Platform.writeTargets(ctx, f.options.Classes, f.options.customers())
}

func (f *Fleet) startBackends(ctx context.Context) error {
	for _, spec := range f.options.Backends {
		backend, err := f.newBackend(spec)
		if err != nil {
			return err
		}
		f.Backends = append(f.Backends, backend)
	}
	group := pool.New().WithContext(ctx)
	for _, backend := range f.Backends {
		group.Go(backend.start)
	}
	return group.Wait()
}

func (f *Fleet) startEntries(ctx context.Context) error {
	for range f.options.Entries {
		entry, err := f.newEntry()
		if err != nil {
			return err
		}
		f.Entries = append(f.Entries, entry)
	}
	group := pool.New().WithContext(ctx)
	for _, entry := range f.Entries {
		group.Go(entry.start)
	}
	return group.Wait()
}

// newProcess makes a process known to Close before it is started.
func (f *Fleet) newProcess(name, addr, program string, args ...string) *Process {
	p := &Process{
		Name:     name,
		Addr:     addr,
		program:  program,
		args:     args,
		logPath:  filepath.Join(f.dir, name+".log"),
		launcher: f.launcher,
		ready:    dialReady(addr),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p
}

// newAddr returns an address that is the fleet's until Close.
func (f *Fleet) newAddr() (string, error) {
	addr, err := ports.Free()
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addrs = append(f.addrs, addr)
	return addr, nil
}

// Processes lists all processes that the fleet ever had.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Process(nil), f.processes...)
}

// Close ends every process that the fleet started and removes its files. It
// kills: to see graceful ends, call Terminate on the processes before.
func (f *Fleet) Close() {
	for _, p := range f.Processes() {
		p.end(stopLimit)
	}
	f.launcher.close()
	f.mu.Lock()
	ports.Release(f.addrs...)
	f.addrs = nil
	f.mu.Unlock()
	if f.ownBuild && f.options.Binaries != nil {
		f.options.Binaries.Remove()
	}
	if f.dir != "" {
		os.RemoveAll(f.dir)
	}
}

// route is the address by which one process reaches another.
func (f *Fleet) route(link Link) (string, error) {
	if f.options.Route == nil {
		return link.Addr, nil
	}
	addr, err := f.options.Route(link)
	if err != nil {
		return "", errors.Wrapf(err, "route to %s", link.To)
	}
	return addr, nil
}

// register puts a VM on the platform's list.
func (f *Fleet) register(ctx context.Context, vm storage.VM) error {
	if err := f.Platform.PutVM(ctx, vm); err != nil {
		return errors.Wrapf(err, "register VM %s", vm.Name)
	}
	return nil
}
