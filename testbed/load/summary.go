package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and their precision in significant
// decimal digits.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Reported percentiles, and the factor between seconds and milliseconds.
const (
	p50 = 50
	p95 = 95

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
	// the class. WastedTokens is the part that no caller received in a
	// complete response; WastedShare is its ratio to ProducedTokens.
	ProducedTokens int     `json:"produced_tokens"`
	WastedTokens   int     `json:"wasted_tokens"`
	WastedShare    float64 `json:"wasted_share"`
	// RefusedButRan is the number of refused requests that an engine ran
	// nevertheless. It must be zero.
	RefusedButRan int `json:"ran_though_refused"`
	// RanMoreThanOnce is the number of requests with more than one run.
	RanMoreThanOnce int `json:"ran_again"`
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
	Retried       int `json:"came_back"`
	RetriedOnTime int `json:"served"`
	RetriedLate   int `json:"served_late"`
	// RetryAfterMedianS and RetryAfterMaxS are the median and the maximum
	// Retry-After of refused requests, in seconds.
	RetryAfterMedianS float64 `json:"retry_after_median_s"`
	RetryAfterMaxS    float64 `json:"retry_after_max_s"`
}

// summary accumulates the requests of a class.
type summary struct {
	counts        ClassReport
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	retryAfter    *hdrhistogram.Histogram
}

func newSummary(class string, tier int) *summary {
	return &summary{
		counts:        ClassReport{Class: class, Tier: tier},
		firstToken:    hdrhistogram.New(minMicros, maxMicros, significantDigits),
		betweenTokens: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		retryAfter:    hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

func (s *summary) add(request requestRecord, work engineWork) {
	s.counts.Sent++
	s.countOutcome(request.result)
	s.countWork(request, work)
	if request.result.complete() {
		s.recordTimes(request.result)
	}
	if request.retry != nil {
		s.countRetry(*request.retry)
	}
}

func (s *summary) countOutcome(result Result) {
	switch result.Outcome {
	case OutcomeOnTime:
		s.counts.OnTime++
		s.counts.OnTimeTokens += result.Tokens
	case OutcomeLate:
		s.counts.Late++
	case OutcomeRefused:
		s.counts.Refused++
		recordTime(s.retryAfter, result.RetryAfter)
	case OutcomeUnknown:
		s.counts.Unknown++
	case OutcomeWrong:
		s.counts.Wrong++
	default:
		s.counts.Broken++
	}
}

func (s *summary) countWork(request requestRecord, work engineWork) {
	s.counts.ProducedTokens += work.tokens
	s.counts.WastedTokens += max(work.tokens-request.deliveredTokens(), 0)
	if work.runs > 1 {
		s.counts.RanMoreThanOnce++
	}
	// The run of a request that was retried may belong to the retry.
	notRetried := request.retry == nil || request.retry.Outcome == OutcomeRefused
	if work.runs > 0 && request.result.Outcome == OutcomeRefused && notRetried {
		s.counts.RefusedButRan++
	}
}

func (s *summary) countRetry(result Result) {
	s.counts.Retried++
	switch result.Outcome {
	case OutcomeOnTime:
		s.counts.RetriedOnTime++
	case OutcomeLate:
		s.counts.RetriedLate++
	}
}

func (s *summary) recordTimes(result Result) {
	recordTime(s.firstToken, result.FirstToken)
	if result.Tokens > 1 {
		recordTime(s.betweenTokens, result.BetweenTokens)
	}
}

// report returns the counts with the derived ratios and percentiles.
func (s *summary) report(duration time.Duration) ClassReport {
	report := s.counts
	report.Attainment = ratio(report.OnTime, report.Sent)
	report.WastedShare = ratio(report.WastedTokens, report.ProducedTokens)
	if duration > 0 {
		report.Goodput = float64(report.OnTime) / duration.Seconds()
	}
	report.FirstTokenP50MS = percentileMillis(s.firstToken, p50)
	report.FirstTokenP95MS = percentileMillis(s.firstToken, p95)
	report.FirstTokenMaxMS = toMillis(s.firstToken.Max())
	report.BetweenTokensP50MS = percentileMillis(s.betweenTokens, p50)
	report.BetweenTokensP95MS = percentileMillis(s.betweenTokens, p95)
	report.RetryAfterMedianS = percentileMillis(s.retryAfter, p50) / millisPerSecond
	report.RetryAfterMaxS = toMillis(s.retryAfter.Max()) / millisPerSecond
	return report
}

// recordTime records d in microseconds, clamped to the histogram's range.
func recordTime(histogram *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	_ = histogram.RecordValue(micros)
}

// percentileMillis returns a percentile, from 0 to 100, of a histogram of
// microseconds, in milliseconds.
func percentileMillis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return toMillis(histogram.ValueAtPercentile(percentile))
}

func toMillis(micros int64) float64 {
	return float64(micros) / 1000
}

func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}
