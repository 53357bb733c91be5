package metrics

import "time"

// GatewayStats is a snapshot of a gateway's state, taken for each scrape.
type GatewayStats struct {
	// StateVersion is the version of the desired state in force.
	StateVersion uint64
	// StateAge is the time since that version was last confirmed to be the newest.
	StateAge time.Duration
	// LiveGateways is the number of gateways that this one receives from, itself included.
	LiveGateways int
	// PollsStore says whether this gateway polls the store for changes to the list of
	// backend servers, instead of receiving them from other gateways.
	PollsStore bool
	// UsableServers is the number of backend servers that may receive requests.
	UsableServers int
	// ServerListAge is the time since the list of backend servers was last confirmed to be complete.
	ServerListAge time.Duration
	// LimitedServers is the number of backend servers that have stated a limit.
	LimitedServers int
	// LimitedSends is the total number of requests sent to servers while they had a limit.
	LimitedSends int64
	// FasterServers and SlowerServers are the numbers of backend servers that are clearly faster
	// and slower than most servers of their service.
	FasterServers, SlowerServers int
	// ReservedServers is the number of backend servers that are reserved for streams with a tight
	// target for pauses.
	ReservedServers int
	// BackedOffServers is the number of backend servers that have asked this gateway to back off.
	BackedOffServers int
	// QuarantinedRequests is the number of requests and prompt segments refused because
	// backend servers terminated while processing them. Requests with the same content
	// count once, and so do those with the same segment.
	QuarantinedRequests int
	// UsageGeneration is the fencing token of the lease under which this gateway reports
	// usage; 0 while it doesn't hold the lease. The metric calls it the generation.
	UsageGeneration uint64
	// ZonePrice is how many milliseconds of a caller's wait one megabyte between zones is worth; nil if
	// the zones' shares aren't planned. ZoneShares holds those of this gateway's zone.
	ZonePrice  *float64
	ZoneShares []ZoneShare
	// DroppedLogLines is the total number of log lines that were dropped.
	DroppedLogLines int64
}

// CollectGateway registers the gateway metrics and calls read before each scrape to update
// them.
func (m *Metrics) CollectGateway(read func() GatewayStats) {
	stateAge := gauge(m.registry, familyStateAge)
	gateways := gauge(m.registry, familyLiveGateways)
	servers := gauge(m.registry, familyUsableServers)
	droppedLines := counter(m.registry, familyLogLinesDropped)
	listAge := gauge(m.registry, familyServerListAge)
	limited := gauge(m.registry, familyLimitedServers)
	faster := gauge(m.registry, familyFasterServers)
	slower := gauge(m.registry, familySlowerServers)
	reserved := gauge(m.registry, familyReservedServers)
	backedOff := gauge(m.registry, familyBackedOffServers)
	limitedSends := counter(m.registry, familyLimitedSends)
	quarantined := gauge(m.registry, familyQuarantinedRequests)
	polling := gauge(m.registry, familyStorePolling)
	fencingToken := gauge(m.registry, familyUsageGeneration)
	zonePairs := map[ZoneShare]bool{}
	m.OnScrape(func() {
		stats := read()
		m.updateZones(&stats, zonePairs)
		m.SetTargetsVersion(stats.StateVersion)
		stateAge.Update(stats.StateAge.Milliseconds())
		gateways.Update(int64(stats.LiveGateways))
		polling.Update(0)
		if stats.PollsStore {
			polling.Update(1)
		}
		servers.Update(int64(stats.UsableServers))
		listAge.Update(stats.ServerListAge.Milliseconds())
		limited.Update(int64(stats.LimitedServers))
		faster.Update(int64(stats.FasterServers))
		slower.Update(int64(stats.SlowerServers))
		reserved.Update(int64(stats.ReservedServers))
		backedOff.Update(int64(stats.BackedOffServers))
		limitedSends.Inc(stats.LimitedSends - limitedSends.Count())
		quarantined.Update(int64(stats.QuarantinedRequests))
		fencingToken.Update(int64(stats.UsageGeneration))
		droppedLines.Inc(stats.DroppedLogLines - droppedLines.Count())
	})
}

// StreamResumed counts a stream that was resumed, in one response or by its caller. origin tells how
// the software version that began it is known, reason how the request ended.
func (m *Metrics) StreamResumed(origin string, reason Reason) {
	counter(m.registry, familyStreamsResumed, label{name: labelOrigin, value: origin}, label{name: labelReason, value: string(reason)}).Inc(1)
}

// StreamPaused counts a stream that exceeded its target for pauses.
func (m *Metrics) StreamPaused() { counter(m.registry, familyStreamsPaused).Inc(1) }

// ServerEnded counts a backend server instance that terminated while it had requests of
// this gateway.
func (m *Metrics) ServerEnded() { counter(m.registry, familyServersEnded).Inc(1) }

// ServerBackoff counts a response in which a backend server asked this gateway to back off.
func (m *Metrics) ServerBackoff() { counter(m.registry, familyServerBackoffs).Inc(1) }

// ResponseTooLarge counts a response of a backend server that was dropped because a part of it exceeded
// its limit.
func (m *Metrics) ResponseTooLarge() { counter(m.registry, familyResponsesTooLarge).Inc(1) }

// EventsOutOfOrder counts a stream of a backend server that was broken off because its events were out of
// order.
func (m *Metrics) EventsOutOfOrder() { counter(m.registry, familyEventsOutOfOrder).Inc(1) }

// ConnectionsRefusedFor counts a time for which callers' new connections are refused.
func (m *Metrics) ConnectionsRefusedFor(d time.Duration) {
	counter(m.registry, familyConnectionsRefused).Inc(d.Milliseconds())
}
