package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Values of the label operation.
const (
	operationRead  = "read"
	operationWrite = "write"
)

// Platform counts the calls to the platform's services.
type Platform struct {
	read  calls
	write calls
}

type calls struct {
	made   gometrics.Counter
	failed gometrics.Counter
}

func newPlatform(registry gometrics.Registry) *Platform {
	return &Platform{
		read:  newCalls(registry, operationRead),
		write: newCalls(registry, operationWrite),
	}
}

func newCalls(registry gometrics.Registry, operation string) calls {
	label := label{name: labelOperation, value: operation}
	return calls{
		made:   counter(registry, familyPlatformCalls, label),
		failed: counter(registry, familyPlatformFailures, label),
	}
}

// Read counts a read; err is its failure, or nil.
func (p *Platform) Read(err error) { p.read.count(err) }

// Write counts a write; err is its failure, or nil.
func (p *Platform) Write(err error) { p.write.count(err) }

// StoreAsked returns what counts a call to the platform's store about a table.
func (m *Metrics) StoreAsked(table string) (count func()) {
	asked := counter(m.registry, familyStoreAsked, label{name: labelTable, value: table})
	return func() { asked.Inc(1) }
}

// StoreRestored returns what counts a return of the platform's store from an older copy, as
// seen by the follower of a table.
func (m *Metrics) StoreRestored(table string) (count func()) {
	restored := counter(m.registry, familyStoreRestored, label{name: labelTable, value: table})
	return func() { restored.Inc(1) }
}

func (c calls) count(err error) {
	c.made.Inc(1)
	if err != nil {
		c.failed.Inc(1)
	}
}
