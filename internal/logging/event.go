package logging

// Names of events, in the order of a process's and a request's life.
const (
	// EventStarted: the process serves.
	EventStarted = "started"
	// EventSignal: the process was told to stop; a second one ends it at once.
	EventSignal = "signal"
	// EventStopping: the graceful shutdown has begun.
	EventStopping = "stopping"
	// EventStopped: the process has ended what it had.
	EventStopped = "stopped"
	// EventFailed: the process can't go on.
	EventFailed = "failed"

	// EventRequestReceived: a caller's request was taken.
	EventRequestReceived = "request_received"
	// EventRequestGranted: an agent has room for it.
	EventRequestGranted = "request_granted"
	// EventRequestStarted: it runs on a backend server.
	EventRequestStarted = "request_started"
	// EventRequestFinished: its whole answer was given.
	EventRequestFinished = "request_finished"
	// EventRequestRefused: it was turned away and certainly not run.
	EventRequestRefused = "request_refused"
	// EventRequestUnknown: whether it ran can't be told.
	EventRequestUnknown = "request_unknown"
	// EventRequestRetried: it is tried again.
	EventRequestRetried = "request_retried"
	// EventRequestCancelled: its caller went away.
	EventRequestCancelled = "request_cancelled"

	// EventClaimNotSettled: how claimed work ended could not be recorded.
	EventClaimNotSettled = "claim_not_settled"

	// EventConnected: a connection to another process was opened.
	EventConnected = "connected"
	// EventDisconnected: a connection was closed, or went silent.
	EventDisconnected = "disconnected"
	// EventPlatformDown: a platform service doesn't answer.
	EventPlatformDown = "platform_down"
	// EventPlatformUp: it answers again.
	EventPlatformUp = "platform_up"
	// EventEngineDown: the backend server can't be reached.
	EventEngineDown = "engine_down"
	// EventEngineUp: it can be reached again.
	EventEngineUp = "engine_up"
	// EventTargetsAdopted: a newer version of the targets is in force here.
	EventTargetsAdopted = "targets_adopted"
	// EventTargetsChanged: an operator's change was accepted.
	EventTargetsChanged = "targets_changed"
	// EventLease: a lease was taken, renewed late, lost or given back.
	EventLease = "lease"
	// EventOrder: an order was given to an engine.
	EventOrder = "order"
)
