package dispatch

import "github.com/applepier/applepier/internal/wire"

// Sink takes the answer as it comes. An error means that the caller has gone.
type Sink interface {
	// Frame takes a FrameHead or FrameData.
	Frame(f wire.Frame) error
}
