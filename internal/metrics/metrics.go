// Package metrics collects a process's metrics in a go-metrics registry and
// exposes them at /metrics in the Prometheus text format. It also serves /healthz
// and /readyz.
//
//	m := metrics.New()
//	class := m.ForClass("hazard-flag") // keep it until the request ends
//	class.Received()
//	class.ObserveFirstToken(320 * time.Millisecond)
//	class.Finished(metrics.OnTime, 210)
//
// Metrics:
//
//   - by class: requests received, finished on time or late (attainment),
//     refused by reason, with an unknown outcome, failed, cancelled and retried;
//     prompt tokens received and refused; generated tokens that were discarded;
//     time to the first token; longest pause within a stream;
//   - over all classes: goodput, which is the number of requests with a complete
//     response on time, and their tokens;
//   - for the process: waiting and running requests and the concurrency limit,
//     control messages and bytes, calls to the platform, CPU time, memory,
//     goroutines and the version of the targets;
//   - for a gateway: see GatewayStats and UsageReports.
//
// Request series are labeled by class and reason only, and the number of values of
// both is bounded: values past MaxClasses or MaxReasons are counted together as
// "other". Customers aren't a label: 400 customers in 60 classes would make 24,000
// series per metric in each of 410 processes, more than collectors handle well, and
// would disclose customers' names to the monitoring system. Use the logs and the
// timeline for questions about one customer.
//
// Start reading at Metrics.
package metrics

import (
	"slices"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/applepier/applepier/internal/targets"
)

// Limits on the number of label values.
const (
	// MaxClasses is the maximum number of classes with their own series: as many
	// as the targets may hold at once. If classes are renamed often during a
	// process's lifetime, later names are counted as "other".
	MaxClasses = targets.MaxClasses
	// MaxReasons is the maximum number of refusal reasons with their own series.
	MaxReasons = 24
)

// otherLabel is the label value for all names past a limit.
const otherLabel = "other"

// Metrics holds the metrics of one process. It is safe for concurrent use.
type Metrics struct {
	registry gometrics.Registry
	goodput  goodput

	Queue    *Queue
	Control  *ControlTraffic
	Platform *PlatformCalls

	// scraping is held while the scrape hooks run: each sets counters to values that it
	// read before, and with two scrapes at once an older value could replace a newer
	// one. It is acquired before mu.
	scraping sync.Mutex
	// mu guards classes, reasons and scrapeHooks. No lock other than the registry's
	// is acquired while it is held.
	mu          sync.Mutex
	classes     map[string]*Class
	reasons     map[Reason]bool
	scrapeHooks []func()
}

// New returns Metrics with all values at zero.
func New() *Metrics {
	registry := gometrics.NewRegistry()
	return &Metrics{
		registry: registry,
		goodput: goodput{
			requests: counter(registry, familyGoodputRequests),
			tokens:   counter(registry, familyGoodputTokens),
		},
		Queue:    newQueue(registry),
		Control:  newControlTraffic(registry),
		Platform: newPlatformCalls(registry),
		classes:  make(map[string]*Class),
		reasons:  make(map[Reason]bool),
	}
}

// ForClass returns the metrics of a class, or those of the class "other" if
// MaxClasses other classes already have metrics.
func (m *Metrics) ForClass(class string) *Class {
	m.mu.Lock()
	defer m.mu.Unlock()
	if existing, ok := m.classes[class]; ok {
		return existing
	}
	if len(m.classes) >= MaxClasses {
		class = otherLabel
	}
	if existing, ok := m.classes[class]; ok {
		return existing
	}
	created := newClass(m, class)
	m.classes[class] = created
	return created
}

// SetTargetsVersion sets the version of the targets in force in this process.
func (m *Metrics) SetTargetsVersion(version uint64) {
	gauge(m.registry, familyTargetsVersion).Update(int64(version))
}

// OnScrape registers update to be called before each scrape, for values that are
// read from elsewhere instead of being counted here.
func (m *Metrics) OnScrape(update func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scrapeHooks = append(m.scrapeHooks, update)
}

// runScrapeHooks calls the functions registered with OnScrape. It doesn't hold mu
// during the calls, since the functions call methods of Metrics.
func (m *Metrics) runScrapeHooks() {
	m.scraping.Lock()
	defer m.scraping.Unlock()
	m.mu.Lock()
	hooks := slices.Clone(m.scrapeHooks)
	m.mu.Unlock()
	for _, hook := range hooks {
		hook()
	}
}

// limitReason returns reason, or otherLabel if MaxReasons other reasons already have
// series.
func (m *Metrics) limitReason(reason Reason) Reason {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reasons[reason] {
		return reason
	}
	if len(m.reasons) >= MaxReasons {
		return otherLabel
	}
	m.reasons[reason] = true
	return reason
}
