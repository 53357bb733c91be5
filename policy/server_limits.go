package policy

import (
	"maps"
	"time"
)

const (
	// limitTTL is for how long a limit stays in force without another response that states it:
	// a server that gets no requests can't lift its limit.
	limitTTL = 10 * time.Minute
	// liftGossipTime is how long the lifting of a limit is broadcast to other gateways.
	liftGossipTime = 5 * time.Second
)

// ServerLimits tracks the limits that servers have stated: how many requests per second each
// accepts from all gateways together. Each server instance has its own limit.
//
// An overloaded server accepts only part of its usual load until it lifts its limit. A gateway
// knows only its own sends: if each kept to the limit by itself, dozens of gateways would send
// dozens of times the limit, and an equal share for each would starve those that have most of
// the load. So each gateway reports its recent sends to the others, and sends as long as all
// together have sent less than the limit. MarkOverLimit accounts for what others may have sent
// since their last report. A gateway that has just started doesn't know what was sent before,
// and takes the limit as used up at first. An equal share of the limit is reserved for each
// gateway that isn't live: it may still be sending.
//
// A server states its limit in its responses, and lifts it with a response that states none. A
// response to a request that was sent before the limit was stated is no evidence that it was
// lifted: the response may have been made earlier.
//
// Not safe for concurrent use.
type ServerLimits struct {
	servers   map[Key]*serverLimit
	lastSweep time.Time
	// startedAt is when this gateway started.
	startedAt time.Time
}

// NewServerLimits returns ServerLimits without any limit for a gateway that starts now.
func NewServerLimits(now time.Time) *ServerLimits {
	return &ServerLimits{servers: map[Key]*serverLimit{}, startedAt: now}
}

// ObserveLimit records that a response of a server instance stated a limit of rate requests per
// second. If no limit was in force, it counts the response's request, which CountSent didn't. It
// reports whether the limit changed.
func (l *ServerLimits) ObserveLimit(now time.Time, instance Key, rate float64) bool {
	l.sweep(now)
	s := l.server(instance)
	isNew, changed := s.Lifted, s.Lifted || s.Rate != rate
	s.own = LimitEvidence{Rate: rate, At: now}
	s.LimitEvidence = s.own
	if isNew {
		l.CountSent(now, instance)
	}
	return changed
}

// ObserveNoLimit records that a server instance's response to a request sent at a given time
// stated no limit. It reports whether that lifts a limit.
func (l *ServerLimits) ObserveNoLimit(sent time.Time, instance Key) bool {
	s := l.servers[instance]
	if s == nil || s.Lifted || !sent.After(s.At) {
		return false
	}
	s.own = LimitEvidence{Lifted: true, At: sent}
	s.LimitEvidence = s.own
	s.sent = 0
	return true
}

// CountSent counts a request that is sent to a server instance.
func (l *ServerLimits) CountSent(now time.Time, instance Key) {
	if s := l.servers[instance]; s != nil && !s.Lifted {
		s.decay(now)
		s.sent++
	}
}

// Merge merges another gateway's reports. The latest evidence wins.
func (l *ServerLimits) Merge(reports []LimitReport) {
	for _, report := range reports {
		if report.At.IsZero() {
			continue
		}
		if s := l.server(report.Instance); report.At.After(s.At) {
			s.LimitEvidence = report.LimitEvidence
		}
	}
}

// Reports returns what to report to other gateways now.
func (l *ServerLimits) Reports(now time.Time) []LimitReport {
	l.sweep(now)
	var reports []LimitReport
	for key, s := range l.servers {
		if s.Lifted && now.Sub(s.At) > liftGossipTime || s.own.At.IsZero() && s.sent == 0 {
			continue
		}
		s.decay(now)
		reports = append(reports, LimitReport{Instance: key, LimitEvidence: s.own, Sent: s.sent})
	}
	return reports
}

// Allowance returns what remains of a server instance's limit, or false if it has none. others
// is how many requests other gateways sent to it recently, and liveShare the share of all
// gateways that are live, this one included.
func (l *ServerLimits) Allowance(now time.Time, instance Key, others, liveShare float64) (Allowance, bool) {
	s := l.servers[instance]
	if s == nil || s.Lifted {
		return Allowance{}, false
	}
	s.decay(now)
	s.liveShare = liveShare
	return s.allowance(now.Sub(l.startedAt), others), true
}

// Empty reports whether no server has a limit or had one recently.
func (l *ServerLimits) Empty() bool { return len(l.servers) == 0 }

// LimitedServers returns how many servers have a limit.
func (l *ServerLimits) LimitedServers() int {
	n := 0
	for _, s := range l.servers {
		if !s.Lifted {
			n++
		}
	}
	return n
}

// server returns the state of a server's limit, and creates it if needed.
func (l *ServerLimits) server(key Key) *serverLimit {
	s := l.servers[key]
	if s == nil {
		s = &serverLimit{LimitEvidence: LimitEvidence{Lifted: true}, liveShare: 1}
		l.servers[key] = s
	}
	return s
}

// sweep drops limits without recent evidence, at most once a minute.
func (l *ServerLimits) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < time.Minute {
		return
	}
	l.lastSweep = now
	maps.DeleteFunc(l.servers, func(_ Key, s *serverLimit) bool { return now.Sub(s.At) > limitTTL })
}
