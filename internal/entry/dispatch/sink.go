package dispatch

import (
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
)

// ErrInvalidChunk means that a chunk of the backend server can't be passed on.
var ErrInvalidChunk = errors.New("invalid chunk")

// Sink receives the response as it is streamed.
type Sink interface {
	// WriteFrame writes a FrameHeaders or FrameData to the caller. It returns
	// ErrInvalidChunk, having written nothing, if the data is invalid; another error
	// means that the caller disconnected.
	WriteFrame(f wire.Frame) error
}
