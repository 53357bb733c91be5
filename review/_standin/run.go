package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/applepier/applepier/testbed/rowstore"
)

// run is one play of a case: its record, its store and the processes that it started.
type run struct {
	trouble bool
	dir     string
	started time.Time
	store   *rowstore.Store
	// storeAddr is the store's host:port.
	storeAddr string
	// onWork is called when an engine begins to run a request, and while it works on one; may be nil.
	onWork func(engine, word, requestID string)

	mu     sync.Mutex
	record *os.File
	procs  []*exec.Cmd
	closed bool
}

func newRun(recordPath string, trouble bool) (*run, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, dir: dir, started: time.Now(), record: record, store: rowstore.New(), storeAddr: listener.Addr().String()}
	go func() { _ = http.Serve(listener, r.store) }()
	r.note("TROUBLE=%v", trouble)
	return r, nil
}

// note writes a line to the record, with the time since the start of the case.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.record, line)
	if strings.HasPrefix(format, "RESULT") || strings.HasPrefix(format, "the case") {
		fmt.Println(line)
	}
}

// close ends all processes that the case started.
func (r *run) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	for _, p := range r.procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	_ = os.RemoveAll(r.dir)
}

// start starts a process and hands each line that it prints to onLine.
func (r *run) start(onLine func(string), env []string, name string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(name, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.procs = append(r.procs, cmd)
	r.mu.Unlock()
	go func() {
		lines := bufio.NewReader(out)
		for {
			line, err := lines.ReadString('\n')
			if line = strings.TrimSpace(line); line != "" {
				onLine(line)
			}
			if err != nil {
				_, _ = io.Copy(io.Discard, out)
				_ = cmd.Wait()
				return
			}
		}
	}()
	return cmd, nil
}

// freeAddr returns a host:port on the loopback address that nothing listens on. Its port is below those
// that the host gives to outgoing connections.
func freeAddr() (string, error) {
	const first, count = 12000, 18000
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", first+rand.N(count))
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", fmt.Errorf("no free port")
}

// gateway is a process of the gateway.
type gateway struct {
	r        *run
	name     string
	front    string
	ready    string
	settings string

	mu   sync.Mutex
	proc *exec.Cmd
}

// settingsTemplate is deploy/gateway.yaml, filled in with the settings of a small deployment.
const settingsTemplate = `process: "%s"
zone: "%s"
listen: "%s"
admin_listen: "%s"
ready_path: /v1/readyz
peer_listen: "%s"
store: "%s"
memory_mb: %d
revoke:
  strict: true
  within: 5000ms
drain:
  within: 3000ms
retry:
  ratio: 0.2
  extra: 104
  window: 10s
grace: 8s
usage:
  addr: ""
  duties: ""
  window: 0s
  delay: 0s
  lease: 0s
log:
  level: info
`

// startGateway starts a gateway and waits until it says that it is ready.
func (r *run) startGateway(name, zone string, memoryMB int) (*gateway, error) {
	var addrs [3]string
	for i := range addrs {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	g := &gateway{r: r, name: name, front: addrs[0], ready: addrs[1], settings: filepath.Join(r.dir, name+".yaml")}
	text := fmt.Sprintf(settingsTemplate, name, zone, g.front, g.ready, addrs[2], r.storeAddr, memoryMB)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	return g, g.waitReady(15 * time.Second)
}

func (g *gateway) start() error {
	proc, err := g.r.start(func(line string) { g.r.note("%s: %s", g.name, line) }, []string{"APPLEPIER_CONFIG=" + g.settings}, "target/applepier", "gateway", "serve")
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.proc = proc
	g.mu.Unlock()
	g.r.note("%s started, process %d", g.name, proc.Process.Pid)
	return nil
}

func (g *gateway) process() *exec.Cmd {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proc
}

func (g *gateway) waitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + g.ready + "/v1/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s did not become ready", g.name)
}

// engine is a process of an engine.
type engine struct {
	r             *run
	id, addr      string
	service, zone string
	proc          *exec.Cmd
	// runs is the number of requests that it has begun to run.
	runs atomic.Int64
}

// startEngine starts an engine at an address and enters it into the store.
func (r *run) startEngine(id, addr, service, zone, mode string) (*engine, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	listening := make(chan struct{}, 1)
	e := &engine{r: r, id: id, addr: addr, service: service, zone: zone}
	e.proc, err = r.start(func(line string) {
		if line == "listening" {
			listening <- struct{}{}
		}
		if strings.HasPrefix(line, "runs ") {
			e.runs.Add(1)
		}
		if words := strings.Fields(line); r.onWork != nil && len(words) > 1 && (words[0] == "runs" || words[0] == "works") {
			r.onWork(id, words[0], strings.TrimSuffix(words[1], ","))
			if words[0] == "works" {
				return
			}
		}
		r.note("engine %s: %s", id, line)
	}, nil, self, "engine", addr, id, mode)
	if err != nil {
		return nil, err
	}
	select {
	case <-listening:
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("engine %s did not start", id)
	}
	r.note("engine %s of %s started at %s", id, service, addr)
	e.write("ready", 1)
	return e, nil
}

// putState writes the desired state.
func (r *run) putState(document string) error {
	if !json.Valid([]byte(document)) {
		return fmt.Errorf("the desired state is not JSON")
	}
	r.store.Put("op", "config", []byte(document))
	return nil
}

// busiest returns the engine that has begun to run the most requests.
func busiest(engines []*engine) *engine {
	return slices.MaxFunc(engines, func(a, b *engine) int { return cmp.Compare(a.runs.Load(), b.runs.Load()) })
}

// leave enters the engine as draining.
func (e *engine) leave() {
	e.r.note("engine %s reports draining", e.id)
	e.write("draining", 2)
}

// write writes the engine's entry.
func (e *engine) write(state string, seq int) {
	e.r.store.PutJSON("servers", e.id, map[string]any{
		"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": 48, "state": state, "warmup-left-ms": 0, "seq": seq,
	})
}
