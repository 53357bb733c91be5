package policy

import (
	"slices"
	"time"
)

const (
	// maxTimeSamples is how many requests of a class its times are taken from, the newest ones.
	maxTimeSamples = 64
	// minTimeSamples is the number of requests below which little is known of a class.
	minTimeSamples = 5
	// maxTimedClasses bounds the classes that are remembered. When it is exceeded, all are dropped: names
	// of classes that no longer exist would otherwise accumulate.
	maxTimedClasses = 1024
)

// ClassTimes tracks how long the requests of each class take at a server, from when they are sent to the end
// of the response.
//
// The zero value is ready to use. Not safe for concurrent use.
type ClassTimes struct {
	classes map[string]*recentTimes
}

// recentTimes holds the newest samples of a class. next is where the next one is stored once there are
// maxTimeSamples.
type recentTimes struct {
	samples []time.Duration
	next    int
}

// Observe adds the time that a request took.
func (c *ClassTimes) Observe(class string, took time.Duration) {
	t, known := c.classes[class]
	if !known {
		if c.classes == nil || len(c.classes) >= maxTimedClasses {
			c.classes = map[string]*recentTimes{}
		}
		t = &recentTimes{}
		c.classes[class] = t
	}
	if len(t.samples) < maxTimeSamples {
		t.samples = append(t.samples, took)
		return
	}
	t.samples[t.next] = took
	t.next = (t.next + 1) % maxTimeSamples
}

// ClassTime is how long the newest requests of a class took.
type ClassTime struct {
	// Median and Longest are 0 without any request.
	Median, Longest time.Duration
	// Reliable is set if there were enough requests to judge the class by them.
	Reliable bool
}

// Of returns the times of a class.
func (c *ClassTimes) Of(class string) ClassTime {
	t := c.classes[class]
	if t == nil {
		return ClassTime{}
	}
	sorted := slices.Sorted(slices.Values(t.samples))
	return ClassTime{Median: sorted[len(sorted)/2], Longest: sorted[len(sorted)-1], Reliable: len(sorted) >= minTimeSamples}
}
