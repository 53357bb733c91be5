package api

import (
	"net/http"

	"github.com/applepier/applepier/internal/entry/dispatch"
)

// Claims makes sure that a call with an idempotency key runs at most once.
type Claims interface {
	// Begin claims the key for this request.
	Begin(r *http.Request, req *dispatch.Request) (dispatch.Guard, error)
}

func (a *API) dispatchClaimed(w http.ResponseWriter, r *http.Request, req *dispatch.Request, out answer) dispatch.Result {
	return a.config.Dispatcher.Do(r.Context(), req, out)
}
