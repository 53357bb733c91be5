package metrics

import "time"

// GatewayStats is a snapshot of a gateway's state, taken for each scrape.
type Gateway struct {
	// StateVersion is the version of the desired state in force.
	Version uint64
	// StateAge is the time since that version was last confirmed to be the newest.
	ProofAge time.Duration
	// LiveGateways is the number of gateways that this one hears from, itself included.
	Gateways int
	// PollsStore says whether this gateway polls the store for changes to the list of
	// backend servers, instead of receiving them from other gateways.
	Asking bool
	// UsableServers is the number of backend servers that may receive requests.
	Servers int
	// LimitedServers is the number of backend servers that have announced a limit.
	Limited int
	// LimitedSends is the total number of requests sent to servers while they had a limit.
	LimitedSends int64
	// QuarantinedRequests is the number of requests refused because backend servers
	// terminated while processing them. Requests with the same content count once.
	Quarantined int
	// UsageFencingToken is the fencing token of the lease under which this gateway reports
	// usage; 0 while it doesn't hold the lease. The metric calls it the generation.
	UsageGeneration uint64
	// DroppedLogLines is the total number of log lines that were dropped.
	LinesDropped int64
}

// CollectGateway registers the gateway metrics and calls read before each scrape to update
// them.
func (m *Metrics) ReadGateway(read func() Gateway) {
	stateAge := gauge(m.registry, familyStateAge)
	gateways := gauge(m.registry, familyLiveGateways)
	servers := gauge(m.registry, familyUsableServers)
	droppedLines := counter(m.registry, familyLogLinesDropped)
	limited := gauge(m.registry, familyLimitedServers)
	limitedSends := counter(m.registry, familyLimitedSends)
	quarantined := gauge(m.registry, familyQuarantinedRequests)
	polling := gauge(m.registry, familyStorePolling)
	fencingToken := gauge(m.registry, familyUsageFencingToken)
	m.OnRead(func() {
		stats := read()
		m.TargetsVersion(stats.Version)
		stateAge.Update(stats.ProofAge.Milliseconds())
		gateways.Update(int64(stats.Gateways))
		polling.Update(0)
		if stats.Asking {
			polling.Update(1)
		}
		servers.Update(int64(stats.Servers))
		limited.Update(int64(stats.Limited))
		limitedSends.Inc(stats.LimitedSends - limitedSends.Count())
		quarantined.Update(int64(stats.Quarantined))
		fencingToken.Update(int64(stats.UsageGeneration))
		droppedLines.Inc(stats.LinesDropped - droppedLines.Count())
	})
}

// ServerEnded counts a backend server instance that terminated while it had requests of
// this gateway.
func (m *Metrics) ServerEnded() { counter(m.registry, familyServersEnded).Inc(1) }
