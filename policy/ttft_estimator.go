package policy

import "time"

const (
	// ttftMeanGain and ttftDeviationGain are the weights of the newest sample in the
	// mean and the mean deviation, as in TCP's retransmission timer (RFC 6298).
	ttftMeanGain      = 1.0 / 8
	ttftDeviationGain = 1.0 / 4
	// ttftDeviations is the number of mean deviations in the upper bound.
	ttftDeviations = 3
)

// ttftEstimator estimates the time from a run's start to its first token, by ticket
// size. Under overload, least-slack-first scheduling starts tickets at the last moment;
// if it allowed for the mean only, half of them would be just late.
type ttftEstimator struct {
	mean      [sizeBuckets]time.Duration
	deviation [sizeBuckets]time.Duration
}

func (e *ttftEstimator) observe(size int, d time.Duration) {
	i := sizeBucket(size)
	if e.mean[i] == 0 {
		e.mean[i] = d
		e.deviation[i] = d / 4
		return
	}
	diff := d - e.mean[i]
	e.mean[i] += time.Duration(ttftMeanGain * float64(diff))
	e.deviation[i] += time.Duration(ttftDeviationGain * float64(diff.Abs()-e.deviation[i]))
}

// upperBound returns the time to allow for: the mean and several mean deviations. It is
// zero without samples.
func (e *ttftEstimator) upperBound(size int) time.Duration {
	i := sizeBucket(size)
	return e.mean[i] + ttftDeviations*e.deviation[i]
}

// expected returns the mean time; zero without samples.
func (e *ttftEstimator) expected(size int) time.Duration {
	return e.mean[sizeBucket(size)]
}
