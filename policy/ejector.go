package policy

import "time"

const (
	// ejectAfter is how many failures in a row eject an engine. One is noise
	// and two come together by chance when a rack restarts; with three a
	// dead engine has cost three callers a retry.
	ejectAfter = 3
	// ejectShare is the share of failures, over about the last eight runs,
	// that ejects an engine that fails only some. An engine this bad costs
	// more retries than the budget allows.
	ejectShare = 0.5
	// ejectMemory is the weight of the newest outcome in that share.
	ejectMemory = 1.0 / 8
	// ejectFirst and ejectLongest bound how long an engine is left out; the
	// time doubles with each ejection, so that a flapping engine is tried
	// seldom, and an engine that only restarted is back in seconds.
	ejectFirst   = 2 * time.Second
	ejectLongest = 2 * time.Minute
	// ejectTrust is how many whole answers in a row after its return make an
	// engine as good as any other.
	ejectTrust = 8
)

// Ejector keeps engines that fail real requests out of placement for a while.
// It goes by outcomes and not by probes or load reports, which are late.
//
// It answers an engine that fails fast: its slots are always free, so that it
// looks best of all and draws the whole load to itself. A slow engine needs no
// ejection, since it grants seldom. Readmission is damped: a returning engine
// that fails again at once is left out for twice as long.
//
// Healthy engines have no entry, so that the state grows with failures and
// not with engines. Not safe for concurrent use.
type Ejector struct {
	records map[string]*ejectRecord
}

// NewEjector returns an Ejector that has ejected nothing.
func NewEjector() *Ejector {
	return &Ejector{records: map[string]*ejectRecord{}}
}

// Observe takes the outcome of a run on an engine. Only failures and whole
// answers count; a cancelled run or a grant that lapsed says nothing of it.
func (e *Ejector) Observe(now time.Time, engine string, o Outcome) {
	switch o {
	case OutcomeFailed:
		e.failed(now, engine)
	case OutcomeWhole:
		e.succeeded(now, engine)
	}
}

func (e *Ejector) failed(now time.Time, engine string) {
	r := e.records[engine]
	if r == nil {
		r = &ejectRecord{}
		e.records[engine] = r
	}
	if now.Before(r.until) {
		// It began before the ejection and was counted by it.
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
	if r.trusted >= ejectTrust {
		delete(e.records, engine)
	}
}

// Ejected reports whether an engine is to be left out now.
func (e *Ejector) Ejected(now time.Time, engine string) bool {
	r := e.records[engine]
	return r != nil && now.Before(r.until)
}

// Forget drops what is known of an engine that left.
func (e *Ejector) Forget(engine string) {
	delete(e.records, engine)
}
