package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Values of the label operation.
const (
	operationRead  = "read"
	operationWrite = "write"
)

// PlatformCalls counts the calls to the platform's services.
type PlatformCalls struct {
	reads  callCounters
	writes callCounters
}

type callCounters struct {
	total  gometrics.Counter
	failed gometrics.Counter
}

func newPlatformCalls(registry gometrics.Registry) *PlatformCalls {
	return &PlatformCalls{
		reads:  newCallCounters(registry, operationRead),
		writes: newCallCounters(registry, operationWrite),
	}
}

func newCallCounters(registry gometrics.Registry, operation string) callCounters {
	label := label{name: labelOperation, value: operation}
	return callCounters{
		total:  counter(registry, familyPlatformCalls, label),
		failed: counter(registry, familyPlatformFailures, label),
	}
}

// Read counts a read, and a failure if err isn't nil.
func (p *PlatformCalls) Read(err error) { p.reads.count(err) }

// Write counts a write, and a failure if err isn't nil.
func (p *PlatformCalls) Write(err error) { p.writes.count(err) }

// StoreCallCounter returns a function that counts a call to the platform's store for the
// table.
func (m *Metrics) StoreCallCounter(table string) (count func()) {
	calls := counter(m.registry, familyStoreCalls, label{name: labelTable, value: table})
	return func() { calls.Inc(1) }
}

// StoreRestoreCounter returns a function that counts a restore of the platform's store from
// an older copy, as detected by the follower of the table.
func (m *Metrics) StoreRestoreCounter(table string) (count func()) {
	restores := counter(m.registry, familyStoreRestores, label{name: labelTable, value: table})
	return func() { restores.Inc(1) }
}

func (c callCounters) count(err error) {
	c.total.Inc(1)
	if err != nil {
		c.failed.Inc(1)
	}
}
