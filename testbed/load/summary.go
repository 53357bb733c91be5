package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds, and their precision.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Quantiles that are reported.
const (
	median = 50
	p95    = 95
	// millisPerSecond turns milliseconds into seconds.
	millisPerSecond = 1000
)

// ClassReport sums up the requests of a class.
type ClassReport struct {
	Class string `json:"class"`
	Tier  int    `json:"tier"`
	// Sent is the sum of the six that follow.
	Sent    int `json:"sent"`
	OnTime  int `json:"on_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Broken  int `json:"broken"`
	Wrong   int `json:"wrong"`
	// Attainment is the part of those sent that was whole and on time.
	Attainment float64 `json:"attainment"`
	// Goodput is the number of those a second of sending.
	Goodput float64 `json:"goodput"`
	// OnTimeTokens are the tokens of those answers.
	OnTimeTokens int `json:"on_time_tokens"`
	// ProducedTokens are all that the engines made for the class's requests;
	// WastedTokens those that no caller got in a whole answer.
	ProducedTokens int     `json:"produced_tokens"`
	WastedTokens   int     `json:"wasted_tokens"`
	WastedShare    float64 `json:"wasted_share"`
	// RanThoughRefused counts requests that were called "not run" and have a
	// run on record; it must be zero.
	RanThoughRefused int `json:"ran_though_refused"`
	// RanAgain counts requests with more than one run on record.
	RanAgain int `json:"ran_again"`
	// Times to the first token and between tokens, of whole answers.
	FirstTokenP50MS    float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS    float64 `json:"first_token_p95_ms"`
	FirstTokenMaxMS    float64 `json:"first_token_max_ms"`
	BetweenTokensP50MS float64 `json:"between_tokens_p50_ms"`
	BetweenTokensP95MS float64 `json:"between_tokens_p95_ms"`
	// CameBack counts refused callers that came back when they were told
	// to; Served those that then got a whole answer on time, ServedLate
	// those that got one late.
	CameBack   int `json:"came_back"`
	Served     int `json:"served"`
	ServedLate int `json:"served_late"`
	// RetryAfterMedianS and RetryAfterMaxS are what refused callers were
	// told, in seconds.
	RetryAfterMedianS float64 `json:"retry_after_median_s"`
	RetryAfterMaxS    float64 `json:"retry_after_max_s"`
}

// summary gathers the requests of a class.
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
	// A caller that came back may have run then.
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

// report computes what follows from the sums.
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
