package history

import "time"

// Ending is how a run on a backend server ended.
type Ending string

// Endings of runs.
const (
	// EndingComplete means that the complete response was written.
	EndingComplete Ending = "whole"
	// EndingCancelled means that the agent cancelled the run or closed the connection.
	EndingCancelled Ending = "cancelled"
	// EndingOpen means that the run had not ended when the record was read, or
	// that its server died first.
	EndingOpen Ending = "open"
)

// Run is one run of a request as its backend server recorded it.
type Run struct {
	// ID identifies the run at the server: the request's ID and the attempt's number.
	ID string `json:"id"`
	// Request is the request's ID.
	Request string `json:"request"`
	// Marker is the marker in the prompt; see Call.Marker.
	Marker string `json:"marker"`
	// Server is the VM of the backend server.
	Server  string    `json:"server"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	Ending  Ending    `json:"ending"`
	// ResumeFrom is the index of the first token that the run wrote.
	ResumeFrom int `json:"resume_from"`
	// Tokens is the number of tokens that the run wrote.
	Tokens int `json:"tokens"`
}
