package policy

import "time"

const (
	// firstTokenMemory and spreadMemory are the weights of the newest sample
	// in the mean and in its spread, those of TCP's retransmission timer
	// (RFC 6298).
	firstTokenMemory = 1.0 / 8
	spreadMemory     = 1.0 / 4
	// spreads is how many mean deviations are allowed for.
	spreads = 3
)

// firstTokenTime foretells the time from a run's start to its first token, by
// size of ticket. Least slack first serves tickets in the last moment when
// more are waiting than can be served; with the mean alone half of them would
// be just late.
type firstTokenTime struct {
	mean   [sizeBuckets]time.Duration
	spread [sizeBuckets]time.Duration
}

func (f *firstTokenTime) observe(size int, d time.Duration) {
	i := sizeBucket(size)
	if f.mean[i] == 0 {
		f.mean[i] = d
		f.spread[i] = d / 4
		return
	}
	off := d - f.mean[i]
	f.mean[i] += time.Duration(firstTokenMemory * float64(off))
	f.spread[i] += time.Duration(spreadMemory * float64(off.Abs()-f.spread[i]))
}

// of is the time to allow for; zero when nothing is known.
func (f *firstTokenTime) of(size int) time.Duration {
	i := sizeBucket(size)
	return f.mean[i] + spreads*f.spread[i]
}

// usual is the mean time; zero when nothing is known.
func (f *firstTokenTime) usual(size int) time.Duration {
	return f.mean[sizeBucket(size)]
}
