package policy

import (
	"math/rand/v2"
	"time"
)

const (
	// budgetIntervals is how many intervals a window is divided into for counting.
	budgetIntervals = 20
	// creditIntervals is for how many intervals a request's credit is valid. The rest of the window is
	// for retries that reach their server some time after they were allowed.
	creditIntervals = 18
	// earnedShare is the part of the ratio that a request earns. Retries in a window are paid for by
	// the requests of that window and of the one before it, which together are at most twice the
	// requests of the larger one.
	earnedShare = 0.5
	// sharedExtra is the part of the fixed number that is divided among the gateways. The rest is a
	// margin, because a gateway may not know all others.
	sharedExtra = 0.75
	// savedShare is the part of a gateway's fixed number that can be saved. The rest accrues in a window.
	savedShare = 0.75
	// creditRounding is the error allowed for in sums of credit.
	creditRounding = 1e-9
)

// DistributedRetryBudget is one gateway's part of a retry budget that holds over all gateways: together
// they keep its RetryBound.
//
// The gateways don't coordinate, and nothing has to outlast a process. A request earns credit at the
// gateway that receives it, which only that process can spend, and only for about a window. The credit
// of a process that is killed is lost, and its successor starts without any. The fixed part is saved up
// as well, from expired credit and over time. Where a gateway's part of it is less than one retry,
// retries are allowed at random, and the bound holds on average.
//
// It guards against retry storms: while a service fails under load, each failure would cause another
// send, until retries are most of the load. Not safe for concurrent use.
type DistributedRetryBudget struct {
	// random is used where less than one retry can be saved; nil means that none is allowed then.
	random *rand.Rand
	// bound holds over all gateways, and extra is this gateway's part of its fixed number.
	bound RetryBound
	extra float64

	intervals [budgetIntervals]budgetInterval
	// reserve is the credit that doesn't expire, up to savedShare of Extra.
	reserve float64
	// start is the time of the first call. Intervals are counted from it, so that changes of the wall
	// clock have no effect. interval is the current one.
	start    time.Time
	interval int64
	// accruedAt is until when the reserve has accrued.
	accruedAt time.Time
	// countedWindow is the window that interval is computed with.
	countedWindow time.Duration
}

// NewDistributedRetryBudget returns a budget without any credit. SetBound must be called before its other
// methods. random is used where less than one retry can be saved; if it is nil, none is allowed then.
func NewDistributedRetryBudget(random *rand.Rand) *DistributedRetryBudget {
	return &DistributedRetryBudget{random: random}
}

// SetBound sets the bound that holds over all gateways, and their number; 0 means that it is unknown, and
// the fixed number isn't used then. If the window changes, everything counted so far is treated as if it
// had been counted at that moment.
func (b *DistributedRetryBudget) SetBound(bound RetryBound, gateways int) {
	b.bound, b.extra = bound, 0
	if gateways > 0 {
		b.extra = sharedExtra * bound.Extra / float64(gateways)
	}
}

// budgetInterval is what was counted in one interval.
type budgetInterval struct {
	requests, retries int
	// credit is what its requests earned and has not been spent.
	credit float64
}

// CountRequest counts a request, whether it is sent or not.
func (b *DistributedRetryBudget) CountRequest(now time.Time) {
	b.advance(now)
	current := &b.intervals[b.interval%budgetIntervals]
	current.requests++
	current.credit += earnedShare * b.bound.Ratio
}

// Available reports whether Allow may allow a retry now.
func (b *DistributedRetryBudget) Available(now time.Time) bool {
	b.advance(now)
	credit := b.credit()
	return credit >= 1-creditRounding || b.isProbabilistic() && credit > creditRounding
}

// Allow reports whether one more retry may be sent now, and if so spends the credit for it.
func (b *DistributedRetryBudget) Allow(now time.Time) bool {
	b.advance(now)
	credit := b.credit()
	allowed := credit >= 1-creditRounding
	if !allowed && b.isProbabilistic() {
		allowed = b.random.Float64() < credit
		b.spend(credit)
	} else if allowed {
		b.spend(1)
	}
	if allowed {
		b.intervals[b.interval%budgetIntervals].retries++
	}
	return allowed
}

// isProbabilistic reports whether less than one retry can be saved, so that retries are allowed at random:
// as many on average as are earned.
func (b *DistributedRetryBudget) isProbabilistic() bool {
	return b.random != nil && b.maxReserve() < 1
}

// Usage returns what has been counted in the window and how many retries that allows.
func (b *DistributedRetryBudget) Usage(now time.Time) RetryUsage {
	b.advance(now)
	var usage RetryUsage
	for i := range b.intervals {
		usage.Requests += b.intervals[i].requests
		usage.Retries += b.intervals[i].retries
	}
	usage.Allowed = float64(usage.Retries) + b.credit()
	return usage
}

func (b *DistributedRetryBudget) maxReserve() float64 { return savedShare * b.extra }

// credit returns the valid credit.
func (b *DistributedRetryBudget) credit() float64 {
	sum := b.reserve
	for i := range b.intervals {
		sum += b.intervals[i].credit
	}
	return sum
}

// spend spends credit, beginning with what expires first.
func (b *DistributedRetryBudget) spend(amount float64) {
	for i := b.interval - creditIntervals + 1; i <= b.interval; i++ {
		if i < 0 {
			continue
		}
		interval := &b.intervals[i%budgetIntervals]
		spent := min(interval.credit, amount)
		interval.credit -= spent
		amount -= spent
	}
	b.reserve = max(0, b.reserve-amount)
}

// advance makes the interval of now the current one. Credit that expires goes to the reserve.
func (b *DistributedRetryBudget) advance(now time.Time) {
	if b.start.IsZero() || b.countedWindow != b.bound.Window {
		b.restart(now)
	}
	b.reserve += (1 - savedShare) * b.extra * now.Sub(b.accruedAt).Seconds() / max(b.bound.Window, 1).Seconds()
	b.accruedAt = now
	interval := int64(now.Sub(b.start)) / max(int64(b.bound.Window)/budgetIntervals, 1)
	for ; b.interval < interval; b.interval++ {
		if interval-b.interval > budgetIntervals {
			// Everything counted so far expires.
			b.reserve = b.credit()
			b.intervals = [budgetIntervals]budgetInterval{}
			b.interval = interval
			break
		}
		b.intervals[(b.interval+1)%budgetIntervals] = budgetInterval{}
		if expired := b.interval + 1 - creditIntervals; expired >= 0 {
			b.reserve += b.intervals[expired%budgetIntervals].credit
			b.intervals[expired%budgetIntervals].credit = 0
		}
	}
	b.reserve = min(b.reserve, b.maxReserve())
}

// restart moves all counts into one interval and starts counting with the new window.
func (b *DistributedRetryBudget) restart(now time.Time) {
	var sum budgetInterval
	for _, interval := range b.intervals {
		sum.requests += interval.requests
		sum.retries += interval.retries
		sum.credit += interval.credit
	}
	b.intervals = [budgetIntervals]budgetInterval{sum}
	b.start, b.interval, b.accruedAt, b.countedWindow = now, 0, now, b.bound.Window
}
