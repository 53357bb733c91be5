// Package baseline implements two simple routers for comparison: round robin with a
// FIFO queue for each engine, and least reported load. They ignore classes, targets
// and priorities. Start reading at Router.
package baseline

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/internal/engine"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// doneMarker is the data of the event that ends a complete stream.
var doneMarker = []byte("[DONE]")

// picker chooses an engine for each request.
type picker interface {
	// pick returns an engine and a function that releases its slot. It may block
	// until a slot is free or ctx is done.
	pick(ctx context.Context) (engine.Engine, func(), error)
	// close stops the picker's background goroutines.
	close()
}

// Router sends each request to one engine, without retries. It implements
// http.Handler for the callers' streaming API.
type Router struct {
	picker picker
}

// ServeHTTP sends the request to an engine and streams its response. It responds with
// status 400 to a body that is unreadable or too large, 503 if no engine could be
// picked, an engine's own status if that rejected the request, and 502 if the engine
// failed before the stream began. If the stream fails later, the connection is aborted.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	target, release, err := r.picker.pick(req.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer release()
	stream, err := target.Start(req.Context(), engine.Run{ID: uuid.NewString() + "#1", Body: body})
	if err != nil {
		writeStartError(w, err)
		return
	}
	defer func() { _ = stream.Close() }()
	if err := relay(w, stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Close stops the router's background goroutines.
func (r *Router) Close() {
	r.picker.close()
}

// relay forwards a stream as server-sent events, including its end marker.
func relay(w http.ResponseWriter, stream engine.Stream) error {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			return writeEvent(w, control, doneMarker)
		}
		if err != nil {
			return err
		}
		if err := writeEvent(w, control, chunk.Data); err != nil {
			return err
		}
	}
}

// writeEvent writes and flushes one server-sent event.
func writeEvent(w io.Writer, control *http.ResponseController, data []byte) error {
	event := make([]byte, 0, len("data: \n\n")+len(data))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := w.Write(event); err != nil {
		return err
	}
	return control.Flush()
}

// writeStartError forwards an engine's rejection; for other errors it writes status 502.
func writeStartError(w http.ResponseWriter, err error) {
	if rejected, ok := errors.Into[*engine.RejectedError](err); ok {
		w.WriteHeader(rejected.Status)
		_, _ = w.Write(rejected.Body)
		return
	}
	http.Error(w, err.Error(), http.StatusBadGateway)
}
