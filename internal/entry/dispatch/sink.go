package dispatch

import "github.com/applepier/applepier/internal/wire"

// Sink receives the response as it is streamed. An error means that the caller
// disconnected.
type Sink interface {
	// WriteFrame writes a FrameHeaders or FrameData to the caller.
	WriteFrame(f wire.Frame) error
}
