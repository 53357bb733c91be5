package engine

import "time"

// Config is the fixed configuration of a Server. Zero values of sizes and
// durations select the defaults below.
type Config struct {
	// Model is the name of the model that is loaded at the start. Requests
	// for models that are not loaded get status 404.
	Model string
	// Capacity is the number of concurrent streams that run at full speed;
	// more streams slow each other down.
	Capacity int
	// MaxStreams is the maximum number of concurrent streams; further ones
	// are queued. The default is four times Capacity.
	MaxStreams int
	// TokenInterval is the time between tokens of a stream at full speed.
	TokenInterval time.Duration
	// PrefillPerToken is the prefill time of one prompt token that is not in
	// the prefix cache.
	PrefillPerToken time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks of 16 tokens.
	CacheBlocks int
	// LoadReportInterval is the time between updates of the load report.
	LoadReportInterval time.Duration
	// SoftwareVersion is the version that the engine reports; empty reports none.
	SoftwareVersion string
	// IgnoreFencingTokens makes the engine execute orders with a stale
	// fencing token.
	IgnoreFencingTokens bool
	// RecordFile, when set, is the file to which the records of runs are
	// written as JSON lines, for tests that kill the process.
	RecordFile string
	// Exit ends the process on a crash while Knobs.Exit is set; nil if the
	// process must keep running.
	Exit func()
}

// Defaults for zero values of Config.
const (
	DefaultModel              = "apple-avustaja"
	DefaultCapacity           = 8
	DefaultTokenInterval      = 10 * time.Millisecond
	DefaultPrefillPerToken    = 20 * time.Microsecond
	DefaultCacheBlocks        = 4096
	DefaultLoadReportInterval = 500 * time.Millisecond
	// streamsPerCapacity is the default ratio of MaxStreams to Capacity.
	streamsPerCapacity = 4
)

// withDefaults returns the configuration with defaults for zero values.
func (c Config) withDefaults() Config {
	if c.Model == "" {
		c.Model = DefaultModel
	}
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	if c.MaxStreams <= 0 {
		c.MaxStreams = streamsPerCapacity * c.Capacity
	}
	if c.TokenInterval <= 0 {
		c.TokenInterval = DefaultTokenInterval
	}
	if c.PrefillPerToken <= 0 {
		c.PrefillPerToken = DefaultPrefillPerToken
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = DefaultCacheBlocks
	}
	if c.LoadReportInterval <= 0 {
		c.LoadReportInterval = DefaultLoadReportInterval
	}
	return c
}
