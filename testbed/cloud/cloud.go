// Package cloud is a stand-in for the platform's endpoints that only one process at a time,
// the holder of a lease, may call: usage reports and scaling of servers. It checks fencing
// tokens when it executes a call, can drop responses and execute calls late, and records
// violations by the calling processes. It identifies a process by the handler that it calls
// (Cloud.HandlerFor), not by the name in the request. Cloud is the main type.
package cloud

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault selects how calls are handled.
type Fault int

// Faults.
const (
	// NoFault executes calls and responds.
	NoFault Fault = iota
	// Throttled responds with status 429 and doesn't execute calls.
	Throttled
	// RequestLost closes the connection without executing the call.
	RequestLost
	// ResponseLost executes calls but closes the connection without a response.
	ResponseLost
	// Delayed closes the connection without a response; RunDelayed executes the calls.
	Delayed
)

// Report is an accepted usage report.
type Report struct {
	Window uint64
	Counts map[string]int64
	// At is the time at which the report was accepted.
	At time.Time
	// Owner is the X-Owner header, and FencingToken the X-Fence-Token header.
	Owner        string
	FencingToken uint64
}

// Cloud is the stand-in; it implements http.Handler.
type Cloud struct {
	// leaseDuration is the period within which two holders must not alternate; 0 disables the
	// check.
	leaseDuration time.Duration
	// mu guards the fields below; no other lock is acquired while it is held.
	mu        sync.Mutex
	fault     Fault
	delayed   []func()
	callCount int
	reports   map[uint64]Report
	// tasks holds the calls seen for each leased task, by name.
	tasks      map[string]*taskState
	violations []string
}

// taskState holds the calls seen for one leased task: usage, or scaling of one service in one
// availability zone.
type taskState struct {
	highestToken uint64
	// processes maps each fencing token to the last process that used it; calls lists the
	// accepted calls in order.
	processes map[uint64]string
	calls     []acceptedCall
}

// acceptedCall is an accepted call.
type acceptedCall struct {
	process string
	at      time.Time
}

// New returns a Cloud that has received no calls. Holders that alternate within leaseDuration
// are reported as a violation; 0 disables this check.
func New(leaseDuration time.Duration) *Cloud {
	return &Cloud{leaseDuration: leaseDuration, reports: map[uint64]Report{}, tasks: map[string]*taskState{}}
}

// SetFault sets how later calls are handled.
func (c *Cloud) SetFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// RunDelayed executes the calls that Delayed has queued.
func (c *Cloud) RunDelayed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, execute := range c.delayed {
		execute()
	}
	c.delayed = nil
}

// CallCount returns the number of valid calls received.
func (c *Cloud) CallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callCount
}

// Reports returns the first accepted report of each window, by window.
func (c *Cloud) Reports() map[uint64]Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.reports)
}

// Violations describes the violations seen: different counts for one window, one fencing
// token used by two processes, and holders that alternate within New's leaseDuration.
func (c *Cloud) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// ServeHTTP handles a call of the process named in the X-Owner header.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.HandlerFor(r.Header.Get("X-Owner")).ServeHTTP(w, r)
}

// HandlerFor returns the handler for the calls of one process.
func (c *Cloud) HandlerFor(name string) http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST /usage", func(w http.ResponseWriter, r *http.Request) { c.handleUsage(w, r, name) })
	routes.HandleFunc("POST /scale", func(w http.ResponseWriter, r *http.Request) { c.handleScale(w, r, name) })
	return routes
}

func (c *Cloud) handleUsage(w http.ResponseWriter, r *http.Request, process string) {
	var body struct {
		Window *uint64          `json:"window-id"`
		Counts map[string]int64 `json:"counts"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Window == nil || body.Counts == nil || r.Header.Get("X-Owner") == "" {
		http.Error(w, "window-id, counts, X-Owner and X-Fence-Token are required", http.StatusBadRequest)
		return
	}
	report := Report{Window: *body.Window, Counts: body.Counts, Owner: r.Header.Get("X-Owner"), FencingToken: token}
	c.handleCall(w, func() int {
		if !c.checkToken("usage", token, process) {
			return http.StatusConflict
		}
		c.storeReport(report)
		return http.StatusOK
	})
}

// storeReport stores the first report of a window and checks that later ones have equal counts. The
// caller holds c.mu.
func (c *Cloud) storeReport(r Report) {
	first, ok := c.reports[r.Window]
	if !ok {
		r.At = time.Now()
		c.reports[r.Window] = r
		return
	}
	if !maps.Equal(first.Counts, r.Counts) {
		c.addViolation("window %d was reported as %v by %s and as %v by %s", r.Window, first.Counts, first.Owner, r.Counts, r.Owner)
	}
}

func (c *Cloud) handleScale(w http.ResponseWriter, r *http.Request, process string) {
	var body struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Desired *int   `json:"desired"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Desired == nil {
		http.Error(w, "desired and X-Fence-Token are required", http.StatusBadRequest)
		return
	}
	c.handleCall(w, func() int {
		if !c.checkToken("scale "+body.Service+" "+body.Zone, token, process) {
			return http.StatusConflict
		}
		return http.StatusOK
	})
}

// handleCall handles a call according to the fault; execute performs the call and returns the HTTP status.
func (c *Cloud) handleCall(w http.ResponseWriter, execute func() int) {
	c.mu.Lock()
	c.callCount++
	fault, status := c.fault, 0
	switch fault {
	case NoFault, ResponseLost:
		status = execute()
	case Delayed:
		c.delayed = append(c.delayed, func() { execute() })
	case Throttled:
		status = http.StatusTooManyRequests
	case RequestLost:
	}
	c.mu.Unlock()
	if fault == NoFault || fault == Throttled {
		w.WriteHeader(status)
		return
	}
	panic(http.ErrAbortHandler)
}

// checkToken records a call and reports whether its fencing token is at least the highest one
// seen for the task. The caller holds c.mu.
func (c *Cloud) checkToken(taskName string, token uint64, process string) bool {
	task := c.tasks[taskName]
	if task == nil {
		task = &taskState{processes: map[uint64]string{}}
		c.tasks[taskName] = task
	}
	if other, ok := task.processes[token]; ok && other != process {
		c.addViolation("%s: %s and %s both used fencing token %d", taskName, other, process, token)
	}
	task.processes[token] = process
	if token < task.highestToken {
		return false
	}
	task.highestToken = token
	task.calls = append(task.calls, acceptedCall{process, time.Now()})
	c.checkAlternation(taskName, task)
	return true
}

// checkAlternation checks for holders that alternate within leaseDuration. The caller holds c.mu.
func (c *Cloud) checkAlternation(taskName string, task *taskState) {
	last := task.calls[len(task.calls)-1]
	otherCalled := false
	for i := len(task.calls) - 2; i >= 0 && last.at.Sub(task.calls[i].at) < c.leaseDuration; i-- {
		switch {
		case task.calls[i].process != last.process:
			otherCalled = true
		case otherCalled:
			c.addViolation("%s: %s acted, then another process, then %s again within %v", taskName, last.process, last.process, last.at.Sub(task.calls[i].at))
			return
		}
	}
}

// addViolation records a violation. The caller holds c.mu.
func (c *Cloud) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}
