// Package fleet runs the system as real processes on 127.0.0.1 for the demo,
// the load tool and the fault matrix: a stand-in platform, backend servers with
// their agents, and entries. Each process can be killed, paused, resumed,
// terminated and restarted. Start is the main entry point.
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

// killTimeout bounds how long Close waits for a killed process to exit.
const killTimeout = 5 * time.Second

// Fleet is a running system of processes on the local machine.
type Fleet struct {
	// Platform is the stand-in platform.
	Platform *Platform
	// Entries holds the entries in creation order.
	Entries []*Entry
	// Backends holds the backend servers with their agents, in the order of
	// Options.Backends.
	Backends []*Backend
	// OperatorKey authenticates requests to the administration API.
	OperatorKey string

	systemKey    string
	options      Options
	dir          string
	ownsBinaries bool
	launcher     *launcher
	keys         keyFiles

	mu        sync.Mutex
	processes []*Process
	addrs     []string
}

// Start starts a fleet, registers its VMs, writes the classes and waits until
// every process is ready. It builds the programs if options.Binaries is nil. On
// an error it stops all processes; the error contains the ends of their logs.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{options: options, OperatorKey: uuid.NewString(), systemKey: uuid.NewString(), launcher: newLauncher()}
	if err := f.start(ctx); err != nil {
		err = errors.Wrap(err, f.logTails(startFailureLines))
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.prepareFiles(ctx); err != nil {
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

func (f *Fleet) prepareFiles(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "applepier-fleet-")
	if err != nil {
		return errors.Wrap(err, "create directory for logs and settings")
	}
	f.dir = dir
	if f.options.Binaries == nil {
		f.ownsBinaries = true
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

// newProcess creates a process, not yet started, that Close stops.
func (f *Fleet) newProcess(name, addr, program string, args ...string) *Process {
	p := &Process{
		Name:     name,
		Addr:     addr,
		program:  program,
		args:     args,
		logPath:  filepath.Join(f.dir, name+".log"),
		launcher: f.launcher,
		ready:    checkDial(addr),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p
}

// newAddr reserves an address until Close.
func (f *Fleet) newAddr() (string, error) {
	addr, err := ports.Reserve()
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addrs = append(f.addrs, addr)
	return addr, nil
}

// Processes returns all processes created so far, including those that have exited.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Process(nil), f.processes...)
}

// Close kills every process of the fleet and removes its files. For a graceful
// shutdown, call Shutdown first.
func (f *Fleet) Close() {
	for _, p := range f.Processes() {
		p.kill(killTimeout)
	}
	f.launcher.close()
	f.mu.Lock()
	ports.Release(f.addrs...)
	f.addrs = nil
	f.mu.Unlock()
	if f.ownsBinaries && f.options.Binaries != nil {
		f.options.Binaries.Remove()
	}
	if f.dir != "" {
		os.RemoveAll(f.dir)
	}
}

// routeAddr returns the address at which one process reaches another.
func (f *Fleet) routeAddr(link Link) (string, error) {
	if f.options.Route == nil {
		return link.Addr, nil
	}
	addr, err := f.options.Route(link)
	if err != nil {
		return "", errors.Wrapf(err, "route to %s", link.To)
	}
	return addr, nil
}

// register adds a VM to the platform's VM list.
func (f *Fleet) register(ctx context.Context, vm storage.VM) error {
	if err := f.Platform.PutVM(ctx, vm); err != nil {
		return errors.Wrapf(err, "register VM %s", vm.Name)
	}
	return nil
}
