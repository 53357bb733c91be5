// Package cloud is a stand-in of the platform's calls that are the duty of one process at
// a time: it takes reports of usage and orders of servers, checks fences when it carries a
// call out, loses answers, carries calls out late, and judges who called. A machine is
// known by the address at which it calls (Cloud.Machine), whatever name it bears. Start
// reading at Cloud.
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

// Fault is what becomes of calls.
type Fault int

// Faults.
const (
	// Well: calls are carried out and answered.
	Well Fault = iota
	// Busy: calls get 429.
	Busy
	// Silent: calls get no answer and aren't carried out.
	Silent
	// Lost: calls are carried out, their answers are lost.
	Lost
	// Late: calls get no answer and are carried out by Land.
	Late
)

// Report is a report of usage that was taken.
type Report struct {
	Window uint64
	Counts map[string]int64
	At     time.Time
	Owner  string
	Fence  uint64
}

// Cloud is the stand-in.
type Cloud struct {
	// leaseTime is within what time holders may not act by turns; 0 for no check.
	leaseTime time.Duration
	// mu guards what follows; nothing is locked while it is held.
	mu      sync.Mutex
	fault   Fault
	late    []func()
	calls   int
	reports map[uint64]Report
	// subjects holds what is known of each duty and subject.
	subjects map[string]*subject
	broken   []string
}

// subject is what was seen of one duty and subject.
type subject struct {
	highest uint64
	// machines are who used each fence, acts who acted, in order.
	machines map[uint64]string
	acts     []act
}

type act struct {
	machine string
	at      time.Time
}

// New returns a stand-in that knows nothing.
func New(leaseTime time.Duration) *Cloud {
	return &Cloud{leaseTime: leaseTime, reports: map[uint64]Report{}, subjects: map[string]*subject{}}
}

// SetFault sets what becomes of calls.
func (c *Cloud) SetFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// Land carries out the calls that are late.
func (c *Cloud) Land() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, do := range c.late {
		do()
	}
	c.late = nil
}

// Calls counts the calls so far.
func (c *Cloud) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Reports returns the reports that were taken first, by window.
func (c *Cloud) Reports() map[uint64]Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.reports)
}

// Broken tells what should not have happened.
func (c *Cloud) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}

// ServeHTTP implements http.Handler for machines that bear their own names.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.Machine(r.Header.Get("X-Owner")).ServeHTTP(w, r)
}

// Machine is the platform as one machine reaches it.
func (c *Cloud) Machine(name string) http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST /usage", func(w http.ResponseWriter, r *http.Request) { c.usage(w, r, name) })
	routes.HandleFunc("POST /scale", func(w http.ResponseWriter, r *http.Request) { c.scale(w, r, name) })
	return routes
}

func (c *Cloud) usage(w http.ResponseWriter, r *http.Request, machine string) {
	var body struct {
		Window *uint64          `json:"window-id"`
		Counts map[string]int64 `json:"counts"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Window == nil || body.Counts == nil || r.Header.Get("X-Owner") == "" {
		http.Error(w, "a window, counts, an owner and a fence are needed", http.StatusBadRequest)
		return
	}
	report := Report{Window: *body.Window, Counts: body.Counts, Owner: r.Header.Get("X-Owner"), Fence: fence}
	c.call(w, func() int {
		if !c.fenced("usage", fence, machine) {
			return http.StatusConflict
		}
		c.take(report)
		return http.StatusOK
	})
}

// take takes a report; c.mu is held.
func (c *Cloud) take(r Report) {
	before, ok := c.reports[r.Window]
	if !ok {
		r.At = time.Now()
		c.reports[r.Window] = r
		return
	}
	if !maps.Equal(before.Counts, r.Counts) {
		c.breaks("window %d was reported as %v by %s and as %v by %s", r.Window, before.Counts, before.Owner, r.Counts, r.Owner)
	}
}

func (c *Cloud) scale(w http.ResponseWriter, r *http.Request, machine string) {
	var body struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Desired *int   `json:"desired"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Desired == nil {
		http.Error(w, "a service, a zone, a number and a fence are needed", http.StatusBadRequest)
		return
	}
	c.call(w, func() int {
		if !c.fenced("scale "+body.Service+" "+body.Zone, fence, machine) {
			return http.StatusConflict
		}
		return http.StatusOK
	})
}

// call carries a call out as the fault says.
func (c *Cloud) call(w http.ResponseWriter, do func() int) {
	c.mu.Lock()
	c.calls++
	fault, status := c.fault, 0
	switch fault {
	case Well, Lost:
		status = do()
	case Late:
		c.late = append(c.late, func() { do() })
	case Busy:
		status = http.StatusTooManyRequests
	case Silent:
	}
	c.mu.Unlock()
	if fault == Well || fault == Busy {
		w.WriteHeader(status)
		return
	}
	panic(http.ErrAbortHandler)
}

// fenced notes a call on a subject and reports whether its fence is high enough; c.mu is
// held.
func (c *Cloud) fenced(name string, fence uint64, machine string) bool {
	s := c.subjects[name]
	if s == nil {
		s = &subject{machines: map[uint64]string{}}
		c.subjects[name] = s
	}
	if other, ok := s.machines[fence]; ok && other != machine {
		c.breaks("%s: %s and %s called under generation %d", name, other, machine, fence)
	}
	s.machines[fence] = machine
	if fence < s.highest {
		return false
	}
	s.highest = fence
	s.acts = append(s.acts, act{machine, time.Now()})
	c.turns(name, s)
	return true
}

// turns looks for holders that act by turns within the lease's time; c.mu is held.
func (c *Cloud) turns(name string, s *subject) {
	last := s.acts[len(s.acts)-1]
	other := false
	for i := len(s.acts) - 2; i >= 0 && last.at.Sub(s.acts[i].at) < c.leaseTime; i-- {
		switch {
		case s.acts[i].machine != last.machine:
			other = true
		case other:
			c.breaks("%s: %s acted, another one, and %s again within %v", name, last.machine, last.machine, last.at.Sub(s.acts[i].at))
			return
		}
	}
}

func (c *Cloud) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}
