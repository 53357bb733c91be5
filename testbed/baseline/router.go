// Package baseline holds two plain routers to compare with: round robin with
// a first-in-first-out queue for each engine, and the least reported load.
// They know no classes, targets or priorities. Start reading at Router.
package baseline

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/applepier/applepier/internal/engine"
)

// maxBody bounds a request, in bytes.
const maxBody = 16 << 20

var endMark = []byte("[DONE]")

// picker chooses the engine of a request.
type picker interface {
	// pick returns an engine and what frees its place; it may wait.
	pick(ctx context.Context) (engine.Engine, func(), error)
	// close ends what the picker runs in the background.
	close()
}

// Router sends each request to one engine, whatever comes of it; it
// implements http.Handler for the callers' streaming API.
type Router struct {
	picker picker
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	target, free, err := r.picker.pick(req.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer free()
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

// Close ends what the router runs in the background.
func (r *Router) Close() {
	r.picker.close()
}

// relay passes a stream on to its end mark.
func relay(w http.ResponseWriter, stream engine.Stream) error {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			return writeEvent(w, control, endMark)
		}
		if err != nil {
			return err
		}
		if err := writeEvent(w, control, chunk.Data); err != nil {
			return err
		}
	}
}

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

func writeStartError(w http.ResponseWriter, err error) {
	if rejected, ok := errors.Into[*engine.RejectedError](err); ok {
		w.WriteHeader(rejected.Status)
		_, _ = w.Write(rejected.Body)
		return
	}
	http.Error(w, err.Error(), http.StatusBadGateway)
}
