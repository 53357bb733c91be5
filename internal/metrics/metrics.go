// Package metrics counts what a process does and serves it at /metrics in
// Prometheus' text format, from a go-metrics registry. It also answers
// /healthz and /readyz.
//
//	m := metrics.New()
//	class := m.Request("hazard-flag") // keep it for the request's life
//	class.Received()
//	class.FirstToken(320 * time.Millisecond)
//	class.Finished(metrics.OnTime, 210)
//
// What is counted:
//
//   - by class: requests received, finished on time or late (attainment),
//     refused by reason, unknown, failed, cancelled and retried; tokens that
//     were generated and thrown away; time to the first token;
//   - over all classes: goodput, which is the requests answered whole and on
//     time, and their tokens;
//   - for the process: its queue, runs and limit, control messages and bytes,
//     calls to the platform, CPU time, memory and the targets' version.
//
// Series are labelled by class and reason only, and both are bounded: names
// past MaxClasses or MaxReasons are counted together as "other". Customers
// are no label. 400 customers in 60 classes would make 24,000 series a metric
// in each of 410 processes, more than collectors keep well, and a customer's
// name in a monitoring system is a disclosure of its own. Questions about one
// customer are answered by the logs and the timeline.
//
// Start reading at Metrics.
package metrics

import (
	"slices"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/applepier/applepier/internal/targets"
)

// Bounds of the labels' values.
const (
	// MaxClasses is how many classes have series of their own: as many as the
	// targets may hold at once. A process that outlives many renamings counts
	// later names together.
	MaxClasses = targets.MaxClasses
	// MaxReasons is how many reasons of refusal have series of their own.
	MaxReasons = 24
)

// other is the label's value of all names past a bound.
const other = "other"

// Metrics are one process's metrics. All methods may be called concurrently.
type Metrics struct {
	registry gometrics.Registry
	goodput  goodput

	// Queue and Control are the process's own.
	Queue    *Queue
	Control  *Control
	Platform *Platform

	// mu guards classes, reasons and onRead; nothing is locked while it is held but
	// the registry's own lock.
	mu      sync.Mutex
	classes map[string]*Class
	reasons map[Reason]bool
	onRead  []func()
}

// New returns metrics that count from zero.
func New() *Metrics {
	registry := gometrics.NewRegistry()
	return &Metrics{
		registry: registry,
		goodput: goodput{
			requests: counter(registry, familyGoodputRequests),
			tokens:   counter(registry, familyGoodputTokens),
		},
		Queue:    newQueue(registry),
		Control:  newControl(registry),
		Platform: newPlatform(registry),
		classes:  make(map[string]*Class),
		reasons:  make(map[Reason]bool),
	}
}

// Request returns the metrics of a class's requests.
func (m *Metrics) Request(class string) *Class {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.classes[class]; ok {
		return known
	}
	if len(m.classes) >= MaxClasses {
		class = other
	}
	if known, ok := m.classes[class]; ok {
		return known
	}
	added := newClass(m, class)
	m.classes[class] = added
	return added
}

// TargetsVersion says which version of the targets is in force here.
func (m *Metrics) TargetsVersion(version uint64) {
	gauge(m.registry, familyTargetsVersion).Update(int64(version))
}

// OnRead has update called before each read of the metrics, for values that
// are known elsewhere and need no counting.
func (m *Metrics) OnRead(update func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onRead = append(m.onRead, update)
}

// refresh runs the updates without the lock, since they call the metrics.
func (m *Metrics) refresh() {
	m.mu.Lock()
	updates := slices.Clone(m.onRead)
	m.mu.Unlock()
	for _, update := range updates {
		update()
	}
}

// bounded returns reason, or other when too many reasons are known.
func (m *Metrics) bounded(reason Reason) Reason {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reasons[reason] {
		return reason
	}
	if len(m.reasons) >= MaxReasons {
		return other
	}
	m.reasons[reason] = true
	return reason
}
