package policy

import "time"

// Ejector keeps engines that fail real requests out of placement for a while.
// Not safe for concurrent use.
type Ejector struct{}

// NewEjector returns an Ejector that has ejected nothing.
func NewEjector() *Ejector { return &Ejector{} }

// Observe takes the outcome of a run on an engine.
func (e *Ejector) Observe(now time.Time, engine string, o Outcome) {}

// Ejected reports whether an engine is to be left out now.
func (e *Ejector) Ejected(now time.Time, engine string) bool { return false }

// Forget drops what is known of an engine that left.
func (e *Ejector) Forget(engine string) {}
