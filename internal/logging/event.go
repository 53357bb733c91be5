package logging

// Names of events of a process.
const (
	// EventStarted: the process serves.
	EventStarted = "started"
	// EventSignal: the process was told to stop; a SIGINT after it ends it at once.
	EventSignal = "signal"
	// EventStopping: the graceful shutdown has begun.
	EventStopping = "stopping"
	// EventStopped: the process has ended what it had.
	EventStopped = "stopped"
	// EventFailed: the process can't go on.
	EventFailed = "failed"
	// EventLinesDropped: lines were left out, since the log's reader is slow.
	EventLinesDropped = "lines_dropped"
	// EventSettingsChanged: a changed settings file was taken up.
	EventSettingsChanged = "settings_changed"
	// EventSettingsRefused: a changed settings file can't be used; what was in
	// force stays.
	EventSettingsRefused = "settings_refused"
	// EventConnected: a connection to another process was opened.
	EventConnected = "connected"
	// EventDisconnected: a connection was closed, or went silent.
	EventDisconnected = "disconnected"
	// EventPlatformDown: a platform service doesn't answer.
	EventPlatformDown = "platform_down"
	// EventPlatformUp: it answers again.
	EventPlatformUp = "platform_up"
	// EventStoreAsked: a gateway follows a table of the store for itself.
	EventStoreAsked = "store_asked"
	// EventUsageHeld: this gateway reports usage from now on; EventUsageLeft: no longer.
	EventUsageHeld = "usage_duty_acquired"
	EventUsageLeft = "usage_duty_left"
	// EventUsageFinalized: a window's report is stored; EventUsageReported: the platform took it.
	EventUsageFinalized = "usage_report_finalized"
	EventUsageReported  = "usage_reported"
	// EventUsageFailed: a report couldn't be stored or sent, and is tried again.
	EventUsageFailed = "usage_report_failed"
	// EventUsageUnreadable: stored counts can't be read or written.
	EventUsageUnreadable = "usage_counts_unreadable"
	// EventStoreRestored: the platform's store came back from an older copy; the table was
	// read anew.
	EventStoreRestored = "store_restored"
	// EventStoreLeft: it has what changes there from other gateways.
	EventStoreLeft = "store_left"
	// EventRowUnreadable: a row of the platform's store can't be used; what was
	// known of it stays.
	EventRowUnreadable = "row_unreadable"
	// EventPeerUnreadable: a datagram between gateways could not be written or
	// read.
	EventPeerUnreadable = "peer_unreadable"
	// EventHandoverFailed: another gateway's desired state and list of servers
	// could not be had, or not be used.
	EventHandoverFailed = "handover_failed"
	// EventRegisterFailed: a gateway could not enter itself in the list of
	// gateways this time.
	EventRegisterFailed = "register_failed"
	// EventGatewayGone: the entry of a gateway that is gone was removed.
	EventGatewayGone = "gateway_gone"
	// EventServersListed: a gateway read the whole list of backend servers.
	EventServersListed = "servers_listed"
	// EventServerChanged: a backend server's entry is new or has changed.
	EventServerChanged = "server_changed"
	// EventServerRemoved: a backend server's entry was removed.
	EventServerRemoved = "server_removed"
	// EventServerEnded: a backend server ended while it had requests of this gateway.
	EventServerEnded = "server_ended"
	// EventServerLimited: a backend server has named a limit, or another one, in an answer.
	EventServerLimited = "server_limited"
	// EventServerUnlimited: it names none any more.
	EventServerUnlimited = "server_unlimited"
	// EventRequestQuarantined: a request is refused from now on, since servers ended under it.
	EventRequestQuarantined = "request_quarantined"
	// EventQuarantineFailed: the requests that are quarantined could not be read from the
	// store, or one of them not be written.
	EventQuarantineFailed = "quarantine_failed"
	// EventCallerClosed: a gateway closed a caller's connection that rested longer
	// than its limit.
	EventCallerClosed = "caller_closed"
	// EventServerError: the HTTP server tells of an error of its own, such as a
	// panic of what handles a request.
	EventServerError = "server_error"
	// EventEngineDown: the backend server can't be reached.
	EventEngineDown = "engine_down"
	// EventEngineUp: it can be reached, at first or again.
	EventEngineUp = "engine_up"
)

// Names of events of a request. Each request has one line, with its end.
const (
	// EventRequestFinished: its whole answer was given, or it failed.
	EventRequestFinished = "request_finished"
	// EventRequestRefused: it was turned away and certainly not run.
	EventRequestRefused = "request_refused"
	// EventRequestUnknown: whether it ran can't be told.
	EventRequestUnknown = "request_unknown"
	// EventRequestCancelled: its caller went away.
	EventRequestCancelled = "request_cancelled"
	// EventClaimNotSettled: the end of a request with an idempotency key could
	// not be written into its claim.
	EventClaimNotSettled = "claim_not_settled"
	// EventClaimSweepFailed: old claims could not be removed.
	EventClaimSweepFailed = "claim_sweep_failed"
	// EventClaimCorrupt: a claim can't be decoded and is left alone.
	EventClaimCorrupt = "claim_corrupt"
)

// Names of events of the administration, leases and orders.
const (
	// EventTargetsChanged: an operator's change was accepted.
	EventTargetsChanged = "targets_changed"
	// EventTargetsAdopted: a newer version of the targets is in force here.
	EventTargetsAdopted = "targets_adopted"
	// EventTargetsPollFailed: the version of the targets could not be read.
	EventTargetsPollFailed = "targets_poll_failed"
	// EventAdminReadFailed: an operator was told what is in force here, since
	// the table service didn't answer.
	EventAdminReadFailed = "admin_read_failed"
	// EventAdminChangeFailed: a change failed for a cause of our own.
	EventAdminChangeFailed = "admin_change_failed"
	// EventLeaseAcquired: a lease is held by this process from now on.
	EventLeaseAcquired = "lease_acquired"
	// EventLeaseEnded: a lease is no longer held here.
	EventLeaseEnded = "lease_ended"
	// EventLeaseRenewFailed: a lease could not be renewed this time.
	EventLeaseRenewFailed = "lease_renew_failed"
	// EventLeaseReleaseFailed: a lease could not be given back.
	EventLeaseReleaseFailed = "lease_release_failed"
	// EventLeaseActFailed: what is done under a lease failed.
	EventLeaseActFailed = "lease_act_failed"
	// EventOrderGiven: an order was given to an engine's agent.
	EventOrderGiven = "order_given"
	// EventOrderDone: an order to the engine was carried out.
	EventOrderDone = "order_done"
	// EventOrderFailed: an order could not be read or carried out.
	EventOrderFailed = "order_failed"
)
