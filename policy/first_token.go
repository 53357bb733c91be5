package policy

import "time"

const (
	// ttftMeanGain and spreadMemory are the weights of the newest sample
	// in the mean and in its spread, those of TCP's retransmission timer
	// (RFC 6298).
	ttftMeanGain = 1.0 / 8
	ttftDeviationGain     = 1.0 / 4
	// ttftDeviations is how many mean deviations are allowed for.
	ttftDeviations = 3
)

// firstTokenTime foretells the time from a run's start to its first token, by
// size of ticket. Least slack first serves tickets in the last moment when
// more are waiting than can be served; with the mean alone half of them would
// be just late.
type firstTokenTime struct {
	mean   [sizeBuckets]time.Duration
	deviation [sizeBuckets]time.Duration
}

func (f *firstTokenTime) observe(size int, d time.Duration) {
	i := sizeBucket(size)
	if f.mean[i] == 0 {
		f.mean[i] = d
		f.deviation[i] = d / 4
		return
	}
	off := d - f.mean[i]
	f.mean[i] += time.Duration(ttftMeanGain * float64(off))
	f.deviation[i] += time.Duration(ttftDeviationGain * float64(off.Abs()-f.deviation[i]))
}

// of is the time to allow for; zero when nothing is known.
func (f *firstTokenTime) of(size int) time.Duration {
	i := sizeBucket(size)
	return f.mean[i] + ttftDeviations*f.deviation[i]
}

// usual is the mean time; zero when nothing is known.
func (f *firstTokenTime) usual(size int) time.Duration {
	return f.mean[sizeBucket(size)]
}
