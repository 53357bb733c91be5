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
	"github.com/applepier/applepier/internal/wire"
)

// forwarded are the request headers that a plain service gets; hop-by-hop
// headers and the caller's key are left out (RFC 9110, 7.6.1).
var forwarded = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", HeaderIdempotencyKey}

// service serves /services/{name}/...
func (a *API) service(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	set := a.config.Holder.Current()
	customer, ok := a.authenticate(w, r, set)
	if !ok {
		return
	}
	params := httprouter.ParamsFromContext(r.Context())
	class, p := serviceClass(set, r.Header.Get(HeaderClass), params.ByName("name"))
	if p != nil {
		refuseUnread(w, r, *p)
		return
	}
	body, ok := a.readBody(w, r, boundOf(class))
	if !ok {
		return
	}
	defer body.release()
	req := a.newRequest(class, customer, arrived)
	req.Serves = class.Service
	req.Size = len(body.data)/bytesPerToken + 1
	req.Body = body.data
	req.Repeatable = class.Repeatable || idempotent(r.Method)
	req.Call = &dispatch.Call{Method: r.Method, Path: servicePath(params.ByName("path"), r.URL.RawQuery), Header: forwardHeader(r.Header)}
	a.carry(w, r, req, func(w http.ResponseWriter) answer {
		return &serviceAnswer{w: w, control: http.NewResponseController(w)}
	})
}

// idempotent methods may be repeated whatever the class says (RFC 9110,
// 9.2.2).
func idempotent(method string) bool {
	return method != http.MethodPost && method != http.MethodPatch
}

func servicePath(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

func forwardHeader(h http.Header) []wire.Header {
	var lines []wire.Header
	for _, name := range forwarded {
		for _, value := range h.Values(name) {
			lines = append(lines, wire.Header{Name: name, Value: value})
		}
	}
	return lines
}

// serviceClass finds the class of a plain service's call: the one it names, or
// the only one that the service has.
func serviceClass(set *targets.Set, name, service string) (targets.Class, *problem) {
	var found []targets.Class
	for _, c := range set.Classes {
		if !c.Retired && c.Service == service {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		p := badRequest("unknown_service", "", fmt.Sprintf("there is no service %q; services: %s", service, strings.Join(serviceNames(set), ", ")))
		p.status = http.StatusNotFound
		return targets.Class{}, &p
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
		p := badRequest("missing_class", HeaderClass, "the service has several classes; name one in "+HeaderClass)
		return targets.Class{}, &p
	}
	return targets.Class{}, unknownClass(set, name)
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
