package agent

import (
	"sync"
	"time"
)

// grantState is where a grant stands.
type grantState int

const (
	// grantOffered: sent to the entry, not yet taken up.
	grantOffered grantState = iota
	// grantUsed: the run has started, and may have ended.
	grantUsed
	// grantLapsed: not taken up in time, declined or voided; never usable.
	grantLapsed
)

// grant is one single-use right to run a request. The table's lock guards it.
type grant struct {
	id       string
	ticketID string
	request  string
	attempt  int
	class    string
	tier     int
	offered  time.Time
	ended    time.Time
	state    grantState
	// streaming says that the first token has come.
	streaming bool

	// cancel is closed to preempt the run.
	cancel     chan struct{}
	cancelOnce sync.Once
}
