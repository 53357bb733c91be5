package router

import "github.com/go-faster/errors"

// Errors of the order of a stream's events.
var (
	// errIDNotIncreasing means that an event's ID isn't greater than that of the event before it in the same
	// response.
	errIDNotIncreasing = errors.New("id doesn't increase")
	// errResumePointSkipped means that a response that continues a stream repeated events that the caller
	// has, but not the last of them.
	errResumePointSkipped = errors.New("event at the resume point is missing")
)
