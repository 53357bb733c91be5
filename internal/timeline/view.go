package timeline

// Peer is a process that is asked for its events.
type Peer struct {
	// Process is the VM's name.
	Process string `json:"process"`
	// Addr is the host:port where it answers PathEvents.
	Addr string `json:"addr"`
}

// Page is one process's answer.
type Page struct {
	Process string `json:"process"`
	// Events are oldest first.
	Events []Event `json:"events"`
	// Truncated says that older events were left out because of the limit.
	Truncated bool `json:"truncated"`
}

// View is what was gathered from all processes.
type View struct {
	// Events are in the order of Merge.
	Events []Event `json:"events"`
	// Answered is how many processes answered.
	Answered int `json:"answered"`
	// NotAnswered names the processes whose events are missing.
	NotAnswered []Missing `json:"not_answered"`
	// Truncated says that older events were left out to bound the answer.
	Truncated bool `json:"truncated"`
}

// Missing is a process that didn't answer.
type Missing struct {
	Peer
	// Reason says why, in few words.
	Reason string `json:"reason"`
}
