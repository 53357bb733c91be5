package history

import "time"

// Ending says how a backend server's run ended.
type Ending string

// Endings of runs.
const (
	// EndingWhole: the whole answer was written.
	EndingWhole Ending = "whole"
	// EndingCancelled: the agent cancelled it or closed the connection.
	EndingCancelled Ending = "cancelled"
	// EndingOpen: it had not ended when the record was read, or its server
	// died first.
	EndingOpen Ending = "open"
)

// Run is one run as its backend server recorded it.
type Run struct {
	// ID is the run's name at the server: the request's id and its attempt.
	ID string `json:"id"`
	// Request is the request's id in ID.
	Request string `json:"request"`
	// Marker is the one in the prompt.
	Marker string `json:"marker"`
	// Server is the backend server's VM.
	Server  string    `json:"server"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	Ending  Ending    `json:"ending"`
	// ResumeFrom is the first token that the run wrote.
	ResumeFrom int `json:"resume_from"`
	// Tokens is how many it wrote.
	Tokens int `json:"tokens"`
}
