package api

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/applepier/applepier/internal/entry/dispatch"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/unread"
	"github.com/applepier/applepier/internal/wire"
)

// forwardedHeaders are the request headers that are forwarded to a plain service.
// Hop-by-hop headers (RFC 9110, 7.6.1) and the caller's API key are not forwarded.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", HeaderIdempotencyKey}

// service handles /services/{name}/...
func (a *API) service(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	set := a.config.Targets.Current()
	customer, ok := a.authenticate(w, r, set)
	if !ok {
		return
	}
	params := httprouter.ParamsFromContext(r.Context())
	class, apiErr := findServiceClass(set, r.Header.Get(HeaderClass), params.ByName("name"))
	if apiErr != nil {
		unread.Respond(w, r, false, func() { a.refuse(w, r, *apiErr) })
		return
	}
	body, ok := a.readBody(w, r, bodyMemoryLimit(class))
	if !ok {
		return
	}
	defer body.release()
	req := a.newRequest(class, customer, arrived)
	req.Serves = class.Service
	req.EstimatedTokens = len(body.data)/bytesPerToken + 1
	req.Body = body.data
	req.Repeatable = class.Repeatable || isIdempotent(r.Method)
	req.ServiceCall = &dispatch.ServiceCall{Method: r.Method, Path: pathWithQuery(params.ByName("path"), r.URL.RawQuery), Header: selectForwardedHeaders(r.Header)}
	a.dispatchRequest(w, r, req, func(w http.ResponseWriter) response {
		return &serviceResponse{w: w, control: http.NewResponseController(w)}
	})
}

// isIdempotent reports whether requests with the method may be repeated even if their
// class is not repeatable (RFC 9110, 9.2.2).
func isIdempotent(method string) bool {
	return method != http.MethodPost && method != http.MethodPatch
}

func pathWithQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

func selectForwardedHeaders(h http.Header) []wire.Header {
	var headers []wire.Header
	for _, name := range forwardedHeaders {
		for _, value := range h.Values(name) {
			headers = append(headers, wire.Header{Name: name, Value: value})
		}
	}
	return headers
}

// findServiceClass returns the class that a service call names, or the only class of the
// service if it names none.
func findServiceClass(set *targets.Set, name, service string) (targets.Class, *apiError) {
	var found []targets.Class
	for _, c := range set.Classes {
		if !c.Retired && c.Service == service {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		e := badRequestError("unknown_service", "", fmt.Sprintf("there is no service %q; services: %s", service, strings.Join(serviceNames(set), ", ")))
		e.status = http.StatusNotFound
		return targets.Class{}, &e
	}
	if name == "" && len(found) == 1 {
		return found[0], nil
	}
	for _, c := range found {
		if c.Name == name {
			return c, nil
		}
	}
	if name == "" {
		e := badRequestError("missing_class", HeaderClass, "the service has several classes; name one in "+HeaderClass)
		return targets.Class{}, &e
	}
	return targets.Class{}, unknownClassError(set, name)
}

func serviceNames(set *targets.Set) []string {
	var names []string
	for _, c := range set.Classes {
		if !c.Retired && c.Service != "" {
			names = append(names, c.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
