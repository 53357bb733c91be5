package metrics

// Readiness says whether a process takes new work: nil, or an error that says
// in few words why it doesn't.
type Readiness func() error
