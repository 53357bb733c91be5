package metrics

// Readiness returns nil if the process accepts new work, or else an error with
// a short reason.
type Readiness func() error
