// Command kit2 plays the script cases of the second review: it starts gateways as separate processes, as
// deploy/system.toml does, and stands in for the platform's store, the engines and the consumers. All
// addresses are loopback addresses.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// errCannotRun ends a case with status 2.
type errCannotRun struct{ reason string }

func cannotRun(format string, args ...any) { panic(errCannotRun{fmt.Sprintf(format, args...)}) }

var (
	recordMu  sync.Mutex
	recordTo  io.Writer
	startedAt = time.Now()
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordTo, "%8.3f  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// freePort returns a port that is free for TCP and UDP.
func freePort() int {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			continue
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", port))
		l.Close()
		if err == nil {
			u.Close()
			return port
		}
	}
	cannotRun("no free port")
	return 0
}

// storeRow is a row of the store in its wire format.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"vsn"`
	Removed bool   `json:"removed,omitempty"`
}

// store stands in for the platform's metadata store (PROTOCOL.md): rows-get, rows-feed and rows-tx.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]storeRow
	history []storeRow
	changed chan struct{}
	addr    string
}

func newStore() *store {
	s := &store{rows: map[string]storeRow{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

func (s *store) putLocked(r storeRow) {
	s.version++
	r.Version = s.version
	id := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row, as the operator or an engine does.
func (s *store) put(table, key string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(storeRow{Table: table, Key: key, Value: value})
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["now-ms"] = time.Since(startedAt).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.URL.Path {
	case "/v1/rows-get":
		rows := []storeRow{}
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
				rows = append(rows, row)
			}
		}
		s.reply(w, 200, map[string]any{"rows": rows, "has-more": false, "vsn": s.version})
	case "/v1/rows-feed":
		since, _ := strconv.ParseUint(q.Get("since-rev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		deadline := time.After(time.Duration(wait) * time.Millisecond)
		for timedOut := false; ; {
			rows := []storeRow{}
			for _, row := range s.history {
				if row.Table == q.Get("table") && row.Version > since {
					rows = append(rows, row)
				}
			}
			if len(rows) > 0 || timedOut {
				s.reply(w, 200, map[string]any{"rows": rows, "vsn": s.version})
				return
			}
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-deadline:
				timedOut = true
			case <-r.Context().Done():
				timedOut = true
			}
			s.mu.Lock()
		}
	case "/v1/rows-tx":
		var tx struct {
			Expect  []storeRow `json:"expect-rev"`
			Puts    []storeRow `json:"puts"`
			Deletes []storeRow `json:"deletes"`
		}
		if json.NewDecoder(r.Body).Decode(&tx) != nil {
			w.WriteHeader(400)
			return
		}
		current := []storeRow{}
		conflict := false
		for _, e := range tx.Expect {
			row := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
			conflict = conflict || row.Version != e.Version
			if row.Version != 0 {
				current = append(current, row)
			}
		}
		if conflict {
			s.reply(w, 412, map[string]any{"rows": current, "vsn": s.version})
			return
		}
		for _, p := range tx.Puts {
			s.putLocked(p)
		}
		for _, d := range tx.Deletes {
			d.Removed = true
			s.putLocked(d)
		}
		s.reply(w, 200, map[string]any{"vsn": s.version})
	default:
		w.WriteHeader(404)
	}
}

// engine stands in for a backend server. handle answers a request that was read completely.
type engine struct {
	id, service, zone, addr string
	handle                  func(e *engine, c net.Conn, head *http.Request, body []byte) (keep bool)
	mu                      sync.Mutex
	listener                net.Listener
	conns                   map[net.Conn]bool
}

func newEngine(id, service string, handle func(*engine, net.Conn, *http.Request, []byte) bool) *engine {
	e := &engine{id: id, service: service, zone: "zone-a", handle: handle, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("engine: %v", err)
	}
	e.addr, e.listener = l.Addr().String(), l
	go e.serve(l)
	return e
}

func (e *engine) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			defer func() {
				c.Close()
				e.mu.Lock()
				delete(e.conns, c)
				e.mu.Unlock()
			}()
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				body, err := io.ReadAll(req.Body)
				if err != nil {
					return
				}
				if want := req.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
					fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Request-Id"), e.id)
					continue
				}
				if !e.handle(e, c, req, body) {
					return
				}
			}
		}()
	}
}

// row is the engine's entry in the store.
func (e *engine) row(seq int) map[string]any {
	return map[string]any{"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": 48, "state": "ready", "warmup-left-ms": 0, "phase": "both", "seq": seq}
}

// beat writes the engine's entry every 1,200 ms until stop is closed.
func (e *engine) beat(s *store, stop chan struct{}) {
	for seq := 1; ; seq++ {
		s.put("servers", e.id, e.row(seq))
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// gateway is a process of the program.
type gateway struct {
	name, listen, admin string
	cmd                 *exec.Cmd
	exited              chan struct{}
}

// stops end the processes that were started.
var (
	stopsMu sync.Mutex
	stops   []func()
)

// onStop has stopAll call a function.
func onStop(stop func()) {
	stopsMu.Lock()
	defer stopsMu.Unlock()
	stops = append(stops, stop)
}

// stopAll ends all processes that were started.
func stopAll() {
	stopsMu.Lock()
	defer stopsMu.Unlock()
	for _, stop := range stops {
		stop()
	}
	stops = nil
}

// timeLimit bounds a case.
const timeLimit = 115 * time.Second

// stopAtLimit ends the case with status 2 at timeLimit and at a signal.
func stopAtLimit() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	record("cannot run: ended before its end")
	stopAll()
	os.Exit(2)
}

// fillIn fills in the template of a gateway's settings as the platform does (DEPLOY.md), for fields that are
// no lists.
func fillIn(root string, fields map[string]string) string {
	template, err := os.ReadFile(filepath.Join(root, "deploy/gateway.yaml"))
	if err != nil {
		cannotRun("template: %v", err)
	}
	sections := regexp.MustCompile(`\{\{([#^])([a-z0-9.-]+)\}\}(.*?)\{\{/([a-z0-9.-]+)\}\}`)
	text := sections.ReplaceAllStringFunc(string(template), func(section string) string {
		m := sections.FindStringSubmatch(section)
		if value := fields[m[2]]; (m[1] == "#") == (value != "" && value != "false") {
			return m[3]
		}
		return ""
	})
	return regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`).ReplaceAllStringFunc(text, func(field string) string { return fields[field[2:len(field)-2]] })
}

// startGateway fills in deploy/gateway.yaml as the platform does and starts the role's command. The fields
// are those of the site lindqvist-tarkastus, but for the changed ones.
func startGateway(dir, root, name string, s *store, changed map[string]string) *gateway {
	g := &gateway{name: name, listen: fmt.Sprintf("127.0.0.1:%d", freePort()), admin: fmt.Sprintf("127.0.0.1:%d", freePort()), exited: make(chan struct{})}
	fields := map[string]string{
		"node": name, "zone": "zone-a", "listen.front": g.listen, "listen.ready": g.admin, "ip": "127.0.0.1",
		"port-range.0": strconv.Itoa(freePort()), "platform.addr": s.addr, "limits.memory-mb": "284",
		"bounds.revoke-strict": "true", "bounds.revoke-ms": "5000", "bounds.drain-ms": "2000", "bounds.retry-ratio": "0.2",
		"bounds.retry-extra": "52", "bounds.retry-window-s": "10", "bounds.grace-s": "8",
	}
	maps.Copy(fields, changed)
	settings := fillIn(root, fields)
	path := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		cannotRun("settings: %v", err)
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		cannotRun("log: %v", err)
	}
	g.cmd = exec.Command(filepath.Join(root, "target/applepier"), "gateway", "serve")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "APPLEPIER_CONFIG=" + path}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.Dir = root
	if err := g.cmd.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	onStop(g.stop)
	go func() {
		_ = g.cmd.Wait()
		close(g.exited)
	}()
	return g
}

func (g *gateway) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.admin + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func (g *gateway) waitReady(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if g.ready() {
			return
		}
	}
	cannotRun("%s isn't ready", g.name)
}

// stop ends the process, by its id. It may be called more than once.
func (g *gateway) stop() {
	_ = g.cmd.Process.Signal(syscall.SIGKILL)
	<-g.exited
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "engine" {
		os.Exit(serveEngine(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, folder string) (status int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	recordTo = io.MultiWriter(file, os.Stdout)
	dir, err := os.MkdirTemp("", "kit2-")
	if err != nil {
		record("cannot run: %v", err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		record("folder %s", dir)
	}
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(errCannotRun)
			if !ok {
				panic(p)
			}
			record("cannot run: %s", c.reason)
			status = 2
		}
	}()
	go stopAtLimit()
	defer stopAll()
	trouble := os.Getenv("TROUBLE") != "0"
	c := map[string]func(root, dir string, trouble bool) bool{"keys": caseKeys, "ids": caseIDs, "slow": caseSlow}[name]
	if c == nil {
		cannotRun("no case %q", name)
	}
	if broken := c(root, dir, trouble); broken {
		record("RESULT: the rule is broken")
		return 1
	}
	record("RESULT: the rule held")
	return 0
}
