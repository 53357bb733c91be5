package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/ports"
)

const (
	// gracePeriod is how long a gateway may take to stop, and revokeTimeout is how
	// soon a removed key must stop working. Operators set both.
	gracePeriod   = 8 * time.Second
	revokeTimeout = 5 * time.Second
	// usageWindow, usageDelay and usageLease are the window, delay and lease
	// settings of usage reporting.
	usageWindow = time.Second
	usageDelay  = 4 * time.Second
	usageLease  = time.Second
	// retryRatio and retryWindow are the bound on retries. Its fixed number is usualRetryExtra, and from
	// minRetryExtra to maxRetryExtra after a change of settings.
	retryRatio      = 0.2
	retryWindow     = 10 * time.Second
	usualRetryExtra = 50
	minRetryExtra   = 30
	maxRetryExtra   = 69
	// memoryMB is the memory limit of a small entry VM.
	memoryMB = 184
)

// gatewayProcess is a gateway process with the proxies on its network paths.
type gatewayProcess struct {
	*fleet.Process
	name, settingsFile        string
	adminAddr, peerAddr       string
	dutiesAddr                string
	frontProxy, storeProxy    *proxy
	retryExtra, revokeSeconds int
	// lifecycle is held while the process is stopped or started; it is locked
	// before mu.
	lifecycle sync.Mutex
	// mu guards the fields below; no other lock is acquired while it is held.
	mu         sync.Mutex
	listenAddr string
	pauseCount int
}

// newGateway creates a gateway's proxies and settings file without starting it.
// bandwidth is the VM's inbound bandwidth in bits per second.
func newGateway(programs *fleet.ProcessGroup, dir, program, name string, store *storeProcess, bandwidth float64) (*gatewayProcess, error) {
	var addrs [3]string
	for i := range addrs {
		addr, err := ports.Reserve()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	g := &gatewayProcess{
		name: name, settingsFile: filepath.Join(dir, name+".yaml"), listenAddr: addrs[0], adminAddr: addrs[1], peerAddr: addrs[2],
		dutiesAddr: store.dutiesAddr, retryExtra: usualRetryExtra, revokeSeconds: int(revokeTimeout / time.Second),
	}
	inbound := &link{bitsPerSecond: bandwidth}
	var err error
	if g.frontProxy, err = newProxy(g.listenAddr, [directionCount]*link{upstream: inbound}); err != nil {
		return nil, err
	}
	if g.storeProxy, err = newProxy(store.listenAddr, [directionCount]*link{downstream: inbound}); err != nil {
		return nil, err
	}
	// A small VM has one core.
	g.Process = programs.NewProcess(name, g.addr, "/usr/bin/env", "GOMAXPROCS=1", program, "gateway", "serve", "--settings", g.settingsFile)
	return g, g.writeSettings()
}

func (g *gatewayProcess) addr() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listenAddr
}

// writeSettings replaces the settings file atomically.
func (g *gatewayProcess) writeSettings() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	text := fmt.Sprintf("process: %s\nzone: z\nlisten: %s\nadmin_listen: %s\nready_path: /ready\npeer_listen: %s\nstore: %s\nmemory_mb: %d\n"+
		"revoke:\n  strict: true\n  within: %ds\nretry:\n  ratio: %g\n  extra: %d\n  window: %s\ngrace: %s\n"+
		"usage:\n  addr: %s\n  duties: metering\n  window: %s\n  delay: %s\n  lease: %s\nlog:\n  level: debug\n",
		g.name, g.listenAddr, g.adminAddr, g.peerAddr, g.storeProxy.addr(), memoryMB, g.revokeSeconds, retryRatio, g.retryExtra, retryWindow, gracePeriod, g.dutiesAddr, usageWindow, usageDelay, usageLease)
	if err := os.WriteFile(g.settingsFile+".new", []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings file")
	}
	return os.Rename(g.settingsFile+".new", g.settingsFile)
}

// changeSettings changes settings that the process reloads while it runs. The time
// within which a removed key must stop working never exceeds revokeTimeout, which
// Check relies on.
func (g *gatewayProcess) changeSettings(variant int) error {
	g.mu.Lock()
	g.retryExtra, g.revokeSeconds = minRetryExtra+variant%(maxRetryExtra-minRetryExtra+1), int(revokeTimeout/time.Second)-variant%2
	g.mu.Unlock()
	return g.writeSettings()
}

// changeListenAddr makes the next start listen on another address.
func (g *gatewayProcess) changeListenAddr() error {
	addr, err := ports.Reserve()
	if err != nil {
		return err
	}
	g.mu.Lock()
	ports.Release(g.listenAddr)
	g.listenAddr = addr
	g.mu.Unlock()
	g.frontProxy.setTarget(addr)
	return g.writeSettings()
}

// addPause changes the number of reasons to keep the process paused by delta;
// it is paused while the number is positive.
func (g *gatewayProcess) addPause(delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasPaused := g.pauseCount > 0
	g.pauseCount += delta
	// The signal fails if the process isn't running.
	if isPaused := g.pauseCount > 0; isPaused && !wasPaused {
		_ = g.Pause()
	} else if wasPaused && !isPaused {
		_ = g.Resume()
	}
}

// setThrottled pauses the process because it has used up its CPU quota, or ends that pause.
// Unlike a freeze, it isn't recorded as a fault.
func (g *gatewayProcess) setThrottled(throttled bool) {
	if throttled {
		g.addPause(1)
	} else {
		g.addPause(-1)
	}
}

// sendHangup sends SIGHUP to the process, which then reads its settings again.
func (g *gatewayProcess) sendHangup() {
	if pid := g.PID(); pid > 0 {
		_ = syscall.Kill(pid, syscall.SIGHUP)
	}
}

// sample reads the process's metrics and resource use. It returns false if the process
// isn't running, ends meanwhile or doesn't return its metrics within a second.
func (g *gatewayProcess) sample(ctx context.Context) (Reading, bool) {
	r := Reading{Gateway: g.name, Process: g.PID(), At: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	text, err := doRequest(ctx, http.MethodGet, "http://"+g.adminAddr+"/metrics", nil)
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "applepier_targets_version") {
			_, err = fmt.Sscan(line[strings.LastIndex(line, " "):], &r.Version)
		}
	}
	descriptors, dirErr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.Process))
	status, statusErr := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.Process))
	// A different PID means that the process was restarted meanwhile.
	if err != nil || dirErr != nil || statusErr != nil || r.Process == 0 || r.Process != g.PID() {
		return r, false
	}
	r.Descriptors = len(descriptors)
	if _, resident, found := strings.Cut(string(status), "VmRSS:"); found {
		_, _ = fmt.Sscan(resident, &r.MemoryMB)
		r.MemoryMB /= 1 << 10
	}
	return r, true
}
