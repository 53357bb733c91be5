package metrics

import "time"

// Gateway is what a gateway knows of its surroundings when the metrics are
// read.
type Gateway struct {
	// Version is the desired state's in force, and ProofAge how old the proof
	// is that there is no newer one.
	Version  uint64
	ProofAge time.Duration
	// Gateways counts the gateways that are heard of, itself included.
	Gateways int
	// Asking says that it asks the store what changed in the list of backend servers.
	Asking bool
	// Servers counts the backend servers that may get requests.
	Servers int
	// Limited counts the backend servers that have named a limit, and LimitedSends the
	// requests that were sent to servers while they had one.
	Limited      int
	LimitedSends int64
	// Quarantined counts the requests that are refused since servers ended under them.
	Quarantined int
	// UsageGeneration is that under which it reports usage; 0 while it doesn't.
	UsageGeneration uint64
	// LinesDropped counts the log lines that were left out.
	LinesDropped int64
}

// ReadGateway has read called before each read of the metrics.
func (m *Metrics) ReadGateway(read func() Gateway) {
	age := gauge(m.registry, familyProofAge)
	gateways := gauge(m.registry, familyGateways)
	servers := gauge(m.registry, familyServers)
	dropped := counter(m.registry, familyLinesDropped)
	limited := gauge(m.registry, familyServersLimited)
	limitedSends := counter(m.registry, familyLimitedSends)
	quarantined := gauge(m.registry, familyQuarantined)
	asking := gauge(m.registry, familyStoreAsking)
	generation := gauge(m.registry, familyUsageGeneration)
	m.OnRead(func() {
		g := read()
		m.TargetsVersion(g.Version)
		age.Update(g.ProofAge.Milliseconds())
		gateways.Update(int64(g.Gateways))
		asking.Update(0)
		if g.Asking {
			asking.Update(1)
		}
		servers.Update(int64(g.Servers))
		limited.Update(int64(g.Limited))
		limitedSends.Inc(g.LimitedSends - limitedSends.Count())
		quarantined.Update(int64(g.Quarantined))
		generation.Update(int64(g.UsageGeneration))
		dropped.Inc(g.LinesDropped - dropped.Count())
	})
}

// ServerEnded counts a start of a backend server that ended while it had requests of this
// gateway.
func (m *Metrics) ServerEnded() { counter(m.registry, familyServersEnded).Inc(1) }
