package agent

import "time"

// silence bounds how long a backend server may send nothing before its run
// counts as cut: before the first step of the answer, and between two.
type silence struct {
	first time.Duration
	next  time.Duration
}

// engineSilence: a long prompt is read within half a minute at the worst
// engine that a target would allow, and a hundred times the slowest interval
// between tokens is five seconds.
var engineSilence = silence{first: 30 * time.Second, next: 5 * time.Second}

// serviceSilence: what a plain service does before it answers isn't known, and
// a call that is cut may not be repeated.
var serviceSilence = silence{first: 2 * time.Minute, next: 30 * time.Second}
