package timeline

// Peer is a process whose events can be fetched.
type Peer struct {
	// Process is the VM's name.
	Process string `json:"process"`
	// Addr is the host:port that serves PathEvents.
	Addr string `json:"addr"`
}

// Page is one process's response, sorted from the oldest event to the newest.
type Page struct {
	Process string  `json:"process"`
	Events  []Event `json:"events"`
	// Truncated says that older events were dropped because of Filter.Limit.
	Truncated bool `json:"truncated"`
}

// View holds the merged events of all processes.
type View struct {
	// Events are in the order of Merge.
	Events []Event `json:"events"`
	// Responded is the number of processes that responded.
	Responded int `json:"answered"`
	// Missing lists the processes whose events couldn't be fetched.
	Missing []MissingPeer `json:"not_answered"`
	// Truncated says that older events were dropped because of Filter.Limit or
	// MaxGathered.
	Truncated bool `json:"truncated"`
}

// MissingPeer is a process whose events couldn't be fetched.
type MissingPeer struct {
	Peer
	// Reason is a short description of the error.
	Reason string `json:"reason"`
}
