package policy

import "time"

const (
	// ejectAfterFailures is how many consecutive failures eject an engine. One is noise, and
	// two coincide when a rack restarts; with three, a dead engine has cost three callers a
	// retry.
	ejectAfterFailures = 3
	// ejectFailureShare is the share of failures, over about the last eight runs, that ejects
	// an engine that fails only some of its runs. Such an engine costs more retries than the
	// retry budget allows.
	ejectFailureShare = 0.5
	// newestOutcomeWeight is the weight of the newest outcome in that share.
	newestOutcomeWeight = 1.0 / 8
	// minEjection and maxEjection bound how long an engine stays ejected. The time doubles
	// with each ejection, so that a flapping engine is rarely tried, and an engine that only
	// restarted is back within seconds.
	minEjection = 2 * time.Second
	maxEjection = 2 * time.Minute
	// healthyAfter is how many consecutive complete responses after its return make an engine
	// as good as any other.
	healthyAfter = 8
)

// Ejector excludes engines that fail real requests from placement for a while; a gateway's
// Chooser uses it for backend servers. It uses outcomes and not probes or load reports, which
// lag behind.
//
// It guards against an engine that fails fast: its slots are always free, so it looks best and
// attracts the whole load. A slow engine needs no ejection, since it grants few tickets.
// Readmission is damped: an engine that fails again at once after its return is ejected for
// twice as long.
//
// Healthy engines have no record, so that the state grows with failures and not with engines.
// Not safe for concurrent use.
type Ejector struct {
	records map[string]*ejectionRecord
}

// NewEjector returns an Ejector without ejected engines.
func NewEjector() *Ejector {
	return &Ejector{records: map[string]*ejectionRecord{}}
}

// Observe records the outcome of a run on an engine. Only failures and complete responses
// count; a cancelled run or an expired grant says nothing about the engine.
func (e *Ejector) Observe(now time.Time, engine string, o Outcome) {
	switch o {
	case OutcomeFailed:
		e.failed(now, engine)
	case OutcomeComplete:
		e.succeeded(now, engine)
	}
}

func (e *Ejector) failed(now time.Time, engine string) {
	r := e.records[engine]
	if r == nil {
		r = &ejectionRecord{}
		e.records[engine] = r
	}
	if now.Before(r.until) {
		// The run began before the ejection, which already accounts for it.
		return
	}
	r.failed(now)
}

func (e *Ejector) succeeded(now time.Time, engine string) {
	r := e.records[engine]
	if r == nil || now.Before(r.until) {
		return
	}
	r.succeeded()
	if r.successes >= healthyAfter {
		delete(e.records, engine)
	}
}

// Ejected reports whether an engine is excluded from placement now.
func (e *Ejector) Ejected(now time.Time, engine string) bool {
	r := e.records[engine]
	return r != nil && now.Before(r.until)
}

// RemoveEngine drops the record of an engine that left.
func (e *Ejector) RemoveEngine(engine string) {
	delete(e.records, engine)
}
