package agent

import "time"

// idleTimeouts bound how long a backend server may send nothing before its run
// fails: first applies before the first frame of the response, next between
// frames.
type idleTimeouts struct {
	first time.Duration
	next  time.Duration
}

// engineIdleTimeouts are the timeouts of an engine. The slowest engine that can
// meet a latency target prefills a long prompt within half a minute. Five
// seconds is a hundred times the longest interval between two tokens.
var engineIdleTimeouts = idleTimeouts{first: 30 * time.Second, next: 5 * time.Second}

// serviceIdleTimeouts are the timeouts of a plain service. They are longer
// because it is unknown what a service does before it responds, and a call that
// is aborted may not be retried.
var serviceIdleTimeouts = idleTimeouts{first: 2 * time.Minute, next: 30 * time.Second}
