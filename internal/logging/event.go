package logging

// Names of process events.
const (
	// EventStarted: the process is ready to serve.
	EventStarted = "started"
	// EventSignal: the process received a signal to stop; a further SIGINT
	// terminates it immediately.
	EventSignal = "signal"
	// EventStopping: the graceful shutdown has begun.
	EventStopping = "stopping"
	// EventStopped: the graceful shutdown has completed.
	EventStopped = "stopped"
	// EventFailed: the process terminates because of an error.
	EventFailed = "failed"
	// EventLinesDropped: log lines were dropped because the queue for the log's
	// reader was full.
	EventLinesDropped = "lines_dropped"
	// EventSettingsChanged: a changed settings file was applied.
	EventSettingsChanged = "settings_changed"
	// EventSettingsRejected: a changed settings file is invalid; the previous
	// settings stay in force.
	EventSettingsRejected = "settings_refused"
	// EventConnected: a connection to another process was opened.
	EventConnected = "connected"
	// EventDisconnected: a connection to another process was closed or timed out.
	EventDisconnected = "disconnected"
	// EventPlatformDown: a platform service doesn't respond.
	EventPlatformDown = "platform_down"
	// EventPlatformUp: the platform service responds again.
	EventPlatformUp = "platform_up"
	// EventStorePollingStarted: a gateway began to poll a table of the store itself.
	EventStorePollingStarted = "store_asked"
	// EventUsageDutyAcquired: this gateway has become the usage reporter.
	EventUsageDutyAcquired = "usage_duty_acquired"
	// EventUsageDutyReleased: this gateway is no longer the usage reporter.
	EventUsageDutyReleased = "usage_duty_left"
	// EventUsageReportFinalized: the report of a window was stored.
	EventUsageReportFinalized = "usage_report_finalized"
	// EventUsageReported: the platform accepted the report of a window.
	EventUsageReported = "usage_reported"
	// EventUsageReportFailed: a report couldn't be stored or sent; it will be retried.
	EventUsageReportFailed = "usage_report_failed"
	// EventUsageCountsUnreadable: stored usage counts can't be read or written.
	EventUsageCountsUnreadable = "usage_counts_unreadable"
	// EventStoreRestored: the platform's store was restored from an older copy; the
	// whole table was read again.
	EventStoreRestored = "store_restored"
	// EventStorePollingStopped: a gateway receives the changes of a table from other
	// gateways and no longer polls the store for them.
	EventStorePollingStopped = "store_left"
	// EventRowUnreadable: a row of the platform's store is invalid; its last valid
	// value stays in use.
	EventRowUnreadable = "row_unreadable"
	// EventPeerUnreadable: a datagram between gateways could not be encoded or
	// decoded.
	EventPeerUnreadable = "peer_unreadable"
	// EventHandoverFailed: the desired state and list of servers could not be
	// fetched from another gateway, or were invalid.
	EventHandoverFailed = "handover_failed"
	// EventRegisterFailed: a gateway's attempt to register in the list of gateways
	// failed.
	EventRegisterFailed = "register_failed"
	// EventGatewayRemoved: the registration of a terminated gateway was removed.
	EventGatewayRemoved = "gateway_gone"
	// EventServersListed: a gateway read the complete list of backend servers.
	EventServersListed = "servers_listed"
	// EventOldReadIgnored: the complete table that was read from the store is older than what
	// other gateways have shared meanwhile.
	EventOldReadIgnored = "old_read_ignored"
	// EventServerListOld: nothing has confirmed for longer than the bound on draining that the list
	// of backend servers is complete.
	EventServerListOld = "server_list_old"
	// EventServerListConfirmed: the list of backend servers is confirmed again.
	EventServerListConfirmed = "server_list_confirmed"
	// EventRetryBudgetExhausted: the retry budget of a service doesn't allow a retry.
	EventRetryBudgetExhausted = "retry_budget_exhausted"
	// EventResponseTooLarge: a part of a backend server's response exceeded its limit, as if it had no
	// end; the response was dropped.
	EventResponseTooLarge = "response_too_large"
	// EventEventsOutOfOrder: the events of a backend server's stream can't be those that follow what the
	// caller has; the response was broken off.
	EventEventsOutOfOrder = "events_out_of_order"
	// EventResponseEndedEarly: a response without a length ended with its connection before its request
	// had been written completely.
	EventResponseEndedEarly = "response_ended_early"
	// EventServerDraining: a response of a backend server says that it drains.
	EventServerDraining = "server_draining"
	// EventServerBackoff: a backend server rejected a request and wants no more for a time.
	EventServerBackoff = "server_backoff"
	// EventServerChanged: a backend server was added to the list or its entry there
	// changed.
	EventServerChanged = "server_changed"
	// EventServerRemoved: a backend server was removed from the list.
	EventServerRemoved = "server_removed"
	// EventServerEnded: a backend server instance terminated while it had requests of this
	// gateway.
	EventServerEnded = "server_ended"
	// EventServerLimited: a backend server stated a new or changed limit in a response.
	EventServerLimited = "server_limited"
	// EventServerUnlimited: a backend server no longer states a limit.
	EventServerUnlimited = "server_unlimited"
	// EventServersReserved: the number of backend servers that a service reserves for streams with a
	// tight target for pauses changed considerably.
	EventServersReserved = "servers_reserved"
	// EventZoneShareChanged: the share of a zone's requests that is sent to another zone
	// has changed by a tenth or more.
	EventZoneShareChanged = "zone_share_changed"
	// EventStreamResumed: a stream was resumed: its caller asked for the rest of it, or
	// its response came from several backend servers.
	EventStreamResumed = "stream_resumed"
	// EventRequestQuarantined: a request will be refused because backend servers
	// terminated while processing it.
	EventRequestQuarantined = "request_quarantined"
	// EventSegmentQuarantined: requests with a prompt segment will be refused because
	// backend servers terminated while processing such requests.
	EventSegmentQuarantined = "segment_quarantined"
	// EventQuarantineEnded: a request or prompt segment is no longer refused, since a
	// backend server has answered it or another one explains the terminations.
	EventQuarantineEnded = "quarantine_ended"
	// EventQuarantineLifted: an operator lifted the quarantine of a request or prompt
	// segment.
	EventQuarantineLifted = "quarantine_lifted"
	// EventQuarantineFailed: the quarantine could not be read from the store, or a
	// change could not be written to it.
	EventQuarantineFailed = "quarantine_failed"
	// EventIdleConnClosed: a gateway closed a caller's connection that was idle
	// longer than the limit.
	EventIdleConnClosed = "caller_closed"
	// EventOverloaded: the process gets too little processor time and refuses new
	// connections of callers for a part of the time.
	EventOverloaded = "overloaded"
	// EventOverloadEnded: the process accepts new connections again.
	EventOverloadEnded = "overload_ended"
	// EventServerError: the HTTP server reported an internal error, such as a
	// panic in a request handler.
	EventServerError = "server_error"
	// EventBackendServerDown: the backend server is unreachable.
	EventBackendServerDown = "engine_down"
	// EventBackendServerUp: the backend server is reachable for the first time or again.
	EventBackendServerUp = "engine_up"
)

// Names of events of requests and of claims on idempotency keys. Each request is
// logged once, when it ends.
const (
	// EventRequestFinished: the complete response was sent, or the request failed.
	EventRequestFinished = "request_finished"
	// EventRequestRefused: the request was refused and certainly not run.
	EventRequestRefused = "request_refused"
	// EventRequestUnknown: it is unknown whether the request ran.
	EventRequestUnknown = "request_unknown"
	// EventRequestCancelled: the caller disconnected.
	EventRequestCancelled = "request_cancelled"
	// EventClaimNotSettled: the outcome of a request with an idempotency key could
	// not be written to its claim.
	EventClaimNotSettled = "claim_not_settled"
	// EventClaimSweepFailed: expired claims could not be removed.
	EventClaimSweepFailed = "claim_sweep_failed"
	// EventClaimCorrupt: a claim can't be decoded and is left unchanged.
	EventClaimCorrupt = "claim_corrupt"
)

// Names of events of the administration API, leases and orders.
const (
	// EventTargetsChanged: an operator's change was accepted.
	EventTargetsChanged = "targets_changed"
	// EventTargetsAdopted: this process applied a newer version of the targets.
	EventTargetsAdopted = "targets_adopted"
	// EventTargetsPollFailed: the version of the targets could not be read.
	EventTargetsPollFailed = "targets_poll_failed"
	// EventAdminReadFailed: an operator's read returned the targets in force in this
	// process, since the table service didn't respond.
	EventAdminReadFailed = "admin_read_failed"
	// EventAdminChangeFailed: an operator's change failed because of an internal
	// error.
	EventAdminChangeFailed = "admin_change_failed"
	// EventLeaseAcquired: this process acquired a lease.
	EventLeaseAcquired = "lease_acquired"
	// EventLeaseAcquireFailed: an attempt to acquire a lease failed, other than because
	// another process holds it.
	EventLeaseAcquireFailed = "lease_acquire_failed"
	// EventLeaseEnded: this process no longer holds a lease.
	EventLeaseEnded = "lease_ended"
	// EventLeaseRenewFailed: an attempt to renew a lease failed.
	EventLeaseRenewFailed = "lease_renew_failed"
	// EventLeaseReleaseFailed: a lease could not be released.
	EventLeaseReleaseFailed = "lease_release_failed"
	// EventLeaseTaskFailed: a task performed under a lease failed.
	EventLeaseTaskFailed = "lease_act_failed"
	// EventOrderIssued: an order was issued to an engine's agent.
	EventOrderIssued = "order_given"
	// EventOrderCompleted: an order to the engine was executed.
	EventOrderCompleted = "order_done"
	// EventOrderFailed: an order could not be read or executed.
	EventOrderFailed = "order_failed"
)
