package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and their precision in significant
// decimal digits.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Reported percentiles.
const (
	median = 50
	p95    = 95
	millisPerSecond = 1000
)

// ClassReport summarizes the requests of a class.
type ClassReport struct {
	Class string `json:"class"`
	Tier  int    `json:"tier"`
	// Sent is the sum of the next six fields.
	Sent    int `json:"sent"`
	OnTime  int `json:"on_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Broken  int `json:"broken"`
	Wrong   int `json:"wrong"`
	// Attainment is the ratio of OnTime to Sent.
	Attainment float64 `json:"attainment"`
	// Goodput is OnTime per second of the phase or scenario.
	Goodput float64 `json:"goodput"`
	// OnTimeTokens is the number of tokens in responses on time.
	OnTimeTokens int `json:"on_time_tokens"`
	// ProducedTokens is the number of tokens that the engines produced for
	// the class. WastedTokens is the part that no client received in a
	// complete response; WastedShare is its ratio to ProducedTokens.
	ProducedTokens int     `json:"produced_tokens"`
	WastedTokens   int     `json:"wasted_tokens"`
	WastedShare    float64 `json:"wasted_share"`
	// RefusedButRan is the number of refused requests that an engine ran
	// nevertheless. It must be zero.
	RanThoughRefused int `json:"ran_though_refused"`
	// RanMoreThanOnce is the number of requests with more than one run.
	RanAgain int `json:"ran_again"`
	// Latencies of complete responses: to the first token and the mean
	// between tokens.
	FirstTokenP50MS    float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS    float64 `json:"first_token_p95_ms"`
	FirstTokenMaxMS    float64 `json:"first_token_max_ms"`
	BetweenTokensP50MS float64 `json:"between_tokens_p50_ms"`
	BetweenTokensP95MS float64 `json:"between_tokens_p95_ms"`
	// Retried is the number of refused requests that were retried after
	// their Retry-After. RetriedOnTime and RetriedLate are the numbers of
	// retries with a complete response on time or late.
	CameBack   int `json:"came_back"`
	Served     int `json:"served"`
	ServedLate int `json:"served_late"`
	// RetryAfterMedianS and RetryAfterMaxS are the median and the maximum
	// Retry-After of refused requests, in seconds.
	RetryAfterMedianS float64 `json:"retry_after_median_s"`
	RetryAfterMaxS    float64 `json:"retry_after_max_s"`
}

// summary accumulates the requests of a class.
type summary struct {
	sums    ClassReport
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	hints   *hdrhistogram.Histogram
}

func newSummary(class string, tier int) *summary {
	return &summary{
		sums:    ClassReport{Class: class, Tier: tier},
		first:   hdrhistogram.New(lowestMicros, highestMicros, digits),
		between: hdrhistogram.New(lowestMicros, highestMicros, digits),
		hints:   hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
}

func (s *summary) add(rec record, made production) {
	s.sums.Sent++
	s.countOutcome(rec.result)
	s.countWork(rec, made)
	if rec.result.whole() {
		s.recordTimes(rec.result)
	}
	if rec.again != nil {
		s.countAgain(*rec.again)
	}
}

func (s *summary) countOutcome(result Result) {
	switch result.Outcome {
	case OutcomeOnTime:
		s.sums.OnTime++
		s.sums.OnTimeTokens += result.Tokens
	case OutcomeLate:
		s.sums.Late++
	case OutcomeRefused:
		s.sums.Refused++
		recordTime(s.hints, result.RetryAfter)
	case OutcomeUnknown:
		s.sums.Unknown++
	case OutcomeWrong:
		s.sums.Wrong++
	default:
		s.sums.Broken++
	}
}

func (s *summary) countWork(rec record, made production) {
	s.sums.ProducedTokens += made.tokens
	s.sums.WastedTokens += max(made.tokens-rec.delivered(), 0)
	if made.runs > 1 {
		s.sums.RanAgain++
	}
	// The run of a request that was retried may belong to the retry.
	stayedAway := rec.again == nil || rec.again.Outcome == OutcomeRefused
	if made.runs > 0 && rec.result.Outcome == OutcomeRefused && stayedAway {
		s.sums.RanThoughRefused++
	}
}

func (s *summary) countAgain(result Result) {
	s.sums.CameBack++
	switch result.Outcome {
	case OutcomeOnTime:
		s.sums.Served++
	case OutcomeLate:
		s.sums.ServedLate++
	}
}

func (s *summary) recordTimes(result Result) {
	recordTime(s.first, result.FirstToken)
	if result.Tokens > 1 {
		recordTime(s.between, result.BetweenTokens)
	}
}

// report returns the counts with the derived ratios and percentiles.
func (s *summary) report(duration time.Duration) ClassReport {
	report := s.sums
	report.Attainment = share(report.OnTime, report.Sent)
	report.WastedShare = share(report.WastedTokens, report.ProducedTokens)
	if duration > 0 {
		report.Goodput = float64(report.OnTime) / duration.Seconds()
	}
	report.FirstTokenP50MS = quantile(s.first, median)
	report.FirstTokenP95MS = quantile(s.first, p95)
	report.FirstTokenMaxMS = toMillis(s.first.Max())
	report.BetweenTokensP50MS = quantile(s.between, median)
	report.BetweenTokensP95MS = quantile(s.between, p95)
	report.RetryAfterMedianS = quantile(s.hints, median) / millisPerSecond
	report.RetryAfterMaxS = toMillis(s.hints.Max()) / millisPerSecond
	return report
}

func recordTime(histogram *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = histogram.RecordValue(micros)
}

func quantile(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return toMillis(histogram.ValueAtPercentile(percentile))
}

func toMillis(micros int64) float64 {
	return float64(micros) / 1000
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
