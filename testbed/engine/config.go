package engine

import "time"

// Config sizes a stand-in; it does not change while it runs.
type Config struct {
	// Model is the model that is loaded at the start; requests for others
	// are refused.
	Model string
	// Capacity is how many streams run at full speed at once.
	Capacity int
	// MaxStreams is how many streams run at once at all; the rest waits.
	MaxStreams int
	// Interval is the time between tokens of a stream at full speed.
	Interval time.Duration
	// PrefillPerToken is the time to read one prompt token that is not in
	// the prefix cache.
	PrefillPerToken time.Duration
	// CacheBlocks is how many blocks of prompt the prefix cache holds.
	CacheBlocks int
	// LoadLag is how old the load report can be.
	LoadLag time.Duration
	// IgnoreFences makes the engine take orders with an old fencing number.
	IgnoreFences bool
	// RecordFile, when set, takes the record of runs as JSON lines, for
	// tests that kill the process.
	RecordFile string
	// Exit ends the process when a crash is to do so; nil when it must not.
	Exit func()
}

// Sizes that a zero value stands for.
const (
	DefaultModel       = "apple-avustaja"
	DefaultCapacity    = 8
	DefaultInterval    = 10 * time.Millisecond
	DefaultPrefill     = 20 * time.Microsecond
	DefaultCacheBlocks = 4096
	DefaultLoadLag     = 500 * time.Millisecond
	// streamsPerCapacity is how far a batch can grow past full speed.
	streamsPerCapacity = 4
)

// withDefaults fills in what is zero.
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
	if c.Interval <= 0 {
		c.Interval = DefaultInterval
	}
	if c.PrefillPerToken <= 0 {
		c.PrefillPerToken = DefaultPrefill
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = DefaultCacheBlocks
	}
	if c.LoadLag <= 0 {
		c.LoadLag = DefaultLoadLag
	}
	return c
}
