package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/platform"
	"github.com/applepier/applepier/testbed/ports"
	"github.com/applepier/applepier/testbed/rowstore"
)

// The operators' document that a Fleet begins with: one service, routes of all
// kinds to it, and a customer's key; version, more routes, the limit for idle
// connections in milliseconds and more keys are filled in.
const firstState = `{
 "version": %d,
 "routes": [
  {"name":"safe","host":"h.example","prefix":"/safe/","type":"safe","timeout-ms":2000,"slo-ms":100,"service":"plain","attempts":2},
  {"name":"unsafe","host":"h.example","prefix":"/unsafe/","type":"unsafe","timeout-ms":2000,"slo-ms":100,"service":"plain","attempts":2},
  {"name":"stream","host":"h.example","prefix":"/stream/","type":"stream","timeout-ms":3000,"slo-ms":500,"priority":1,"service":"plain","attempts":2},
  {"name":"resume","host":"h.example","prefix":"/resume/","type":"stream","timeout-ms":3000,"slo-ms":500,"service":"plain","attempts":2,"resumable":true},
  {"name":"quick","host":"h.example","prefix":"/quick/","type":"unsafe","timeout-ms":200,"slo-ms":100,"service":"plain","attempts":1},
  {"name":"open","host":"h.example","prefix":"/open/","type":"safe","timeout-ms":2000,"service":"plain","attempts":2,"public":true}%s
 ],
 "services": [{"name":"plain","max-conns":100}],
 "limits": {"max-header-bytes":16384,"max-body-bytes":100000,"idle-timeout-ms":%d},
 "tenants": [{"name":"crew","api-keys":["key-1"%s],"priority":1}]
}`

// idleLimit is how long callers' connections may rest under a Fleet's first
// state: longer than any test.
const idleLimit = 15 * time.Second

// Fleet is a gateway between the platform's store and backend servers, all in
// this process.
type Fleet struct {
	t     testing.TB
	Store *rowstore.Store
	// Front is where callers reach the gateway, Admin where the balancer asks.
	Front string
	Admin string
	// Stop tells the gateway to stop; Stopped is closed when it has.
	Stop    context.CancelFunc
	Stopped chan struct{}
	// mu guards what follows; nothing is locked while it is held.
	mu       sync.Mutex
	arrivals []*Arrival
	settings settings.Gateway
	// way is the gateway's to the store.
	way *silenced
	// read is closed once the gateway has read the settings again.
	read chan struct{}
}

// shortGrace ends a gateway soon after its test.
const shortGrace = 500 * time.Millisecond

// Options change what a Fleet begins with.
type Options struct {
	// Revoke is within what time a key that is taken away stops working; 0
	// where that isn't strict.
	Revoke time.Duration
	// Grace is how long the gateway may take to stop; 0 for next to nothing.
	Grace time.Duration
	// MemoryMB is the memory that the gateway may use; 0 for no bound.
	MemoryMB float64
	// Log takes the gateway's lines; nil for nowhere.
	Log *zap.Logger
	// Name is the gateway's; gateway-1 if empty. PeerListen is where it exchanges
	// with others; a free address if empty.
	Name       string
	PeerListen string
	// Listed are other gateways that are in the list, and their addresses.
	Listed map[string]string
	// Store is another Fleet's store, which both gateways ask then; nil for its own.
	Store *rowstore.Store
	// Fault is what becomes of calls to the store from the start on.
	Fault rowstore.Fault
	// Run runs the gateway until the context ends; nil for within this process.
	// Change then does nothing.
	Run func(context.Context, settings.Gateway) error
	// StoreRate is how fast the store's answers come, in bytes a second; 0 for no
	// bound.
	StoreRate int
	// Usage says what is reported of customers' requests.
	Usage settings.Usage
	// Unready starts the gateway with a store that knows nothing.
	Unready bool
}

// NewFleet starts a store and a gateway and waits until it is ready.
func NewFleet(t testing.TB, o Options) *Fleet {
	t.Helper()
	f := &Fleet{t: t, Store: o.Store, Stopped: make(chan struct{})}
	if f.Store == nil {
		f.Store = rowstore.New()
	}
	if !o.Unready && o.Store == nil {
		f.Desire(1, "", "")
	}
	for name, addr := range o.Listed {
		f.Store.Put("gateways", name, []byte(addr))
	}
	if o.Store == nil {
		f.Store.SetFault(o.Fault)
	}
	f.way = &silenced{Handler: slowLink{f.Store, o.StoreRate}}
	web := httptest.NewServer(f.way)
	t.Cleanup(func() { f.Store.SetFault(rowstore.Busy); web.CloseClientConnections(); web.Close() })
	f.Front, f.Admin = ports.For(t), ports.For(t)
	if o.Name == "" {
		o.Name = "gateway-1"
	}
	if o.PeerListen == "" {
		o.PeerListen = ports.For(t)
	}
	f.settings = settings.Gateway{
		Process: o.Name, Zone: "z", Listen: f.Front, AdminListen: f.Admin, ReadyPath: "/ready",
		PeerListen: o.PeerListen, Store: strings.TrimPrefix(web.URL, "http://"), Grace: max(o.Grace, shortGrace), MemoryMB: o.MemoryMB,
		Usage:  o.Usage,
		Revoke: settings.Revoke{Strict: o.Revoke > 0, Within: o.Revoke},
		Retry:  settings.Retry{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
	}
	log := o.Log
	if log == nil {
		log = zap.NewNop()
	}
	ctx, stop := context.WithCancel(context.Background())
	f.Stop = stop
	run, first := o.Run, f.settings
	if run == nil {
		run = func(ctx context.Context, s settings.Gateway) error {
			return platform.ServeGateway(ctx, s, f.reload, log)
		}
	}
	go func() {
		defer close(f.Stopped)
		if err := run(ctx, first); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { stop(); <-f.Stopped })
	if !o.Unready {
		f.Wait("the gateway is ready", f.Ready)
	}
	return f
}

// Silence has nothing come back from the store to this gateway, or ends that.
func (f *Fleet) Silence(silent bool) { f.way.silent.Store(silent) }

// Change changes the gateway's settings and waits until they are in force.
func (f *Fleet) Change(change func(*settings.Gateway)) {
	f.mu.Lock()
	change(&f.settings)
	read := make(chan struct{})
	f.read = read
	f.mu.Unlock()
	// They are in force when they have been read, and are read once more.
	<-read
	f.mu.Lock()
	f.read = make(chan struct{})
	read = f.read
	f.mu.Unlock()
	<-read
}

func (f *Fleet) reload() (settings.Gateway, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.read != nil {
		close(f.read)
		f.read = nil
	}
	return f.settings, nil
}

// Desire writes a version of the operators' document, with more routes and
// keys as the document spells them.
func (f *Fleet) Desire(version int, routes, keys string) {
	f.desire(version, routes, idleLimit, keys)
}

// Limit writes a version of the operators' document with a limit for idle
// connections and waits until it is in force.
func (f *Fleet) Limit(version int, limit time.Duration) {
	f.t.Helper()
	route := fmt.Sprintf(`,{"name":"mark","host":"h.example","prefix":"/mark-%d/","type":"safe","timeout-ms":2000,"service":"plain","attempts":2}`, version)
	f.desire(version, route, limit, "")
	f.Wait("the limit is in force", func() bool { return f.Call(fmt.Sprintf("/mark-%d/x", version), "mark").Status == http.StatusOK })
}

func (f *Fleet) desire(version int, routes string, idle time.Duration, keys string) {
	f.Store.Put("op", "config", []byte(fmt.Sprintf(firstState, version, routes, idle.Milliseconds(), keys)))
}

// Serve starts a backend server that does as script says, and lists it.
func (f *Fleet) Serve(instance string, script Script) *Server {
	f.t.Helper()
	s, err := Listen("127.0.0.1:0", instance, script, f.arrived)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.Stop)
	f.List(s, "ready")
	return s
}

// List writes a server's entry in a state.
func (f *Fleet) List(s *Server, state string) {
	f.Store.PutJSON("servers", s.Instance, map[string]any{
		"service": "plain", "addr": s.Addr, "zone": "z", "version": "v1", "slots": 8, "state": state, "seq": 1, "warmup-left-ms": 0,
	})
}

// Ready reports whether the gateway says that it is ready.
func (f *Fleet) Ready() bool {
	resp, err := http.Get("http://" + f.Admin + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Wait waits until something can be seen.
func (f *Fleet) Wait(what string, seen func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if seen() {
			return
		}
	}
	f.t.Fatalf("not seen in time: %s", what)
}

// Arrivals returns the requests with an id that reached backend servers.
func (f *Fleet) Arrivals(id string) []*Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*Arrival
	for _, a := range f.arrivals {
		if a.ID == id {
			all = append(all, a)
		}
	}
	return all
}

func (f *Fleet) arrived(a *Arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
}

// Request returns a caller's request with the first key.
func (f *Fleet) Request(ctx context.Context, method, path, id string, body io.Reader) *http.Request {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Front+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Bearer key-1")
	return req
}

// Got is what a caller got.
type Got struct {
	Status int
	Header http.Header
	Body   string
	// Err says that the answer wasn't whole.
	Err error
}

// Do sends a request on a connection of its own and reads the answer.
func (f *Fleet) Do(req *http.Request) Got {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return Got{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Got{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}

// Call sends a POST with an empty body.
func (f *Fleet) Call(path, id string) Got {
	return f.Do(f.Request(context.Background(), http.MethodPost, path, id, nil))
}
