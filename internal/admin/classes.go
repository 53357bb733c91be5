package admin

import (
	"net/http"

	"github.com/applepier/applepier/internal/targets"
)

func (a *API) listClasses(w http.ResponseWriter, r *http.Request) {
	set, source := a.loadTargets(r.Context())
	response := classesResponse{Version: set.Version, Source: source, Classes: []*classView{}}
	for _, c := range set.Classes {
		response.Classes = append(response.Classes, newClassView(c))
	}
	setETag(w, set.Version)
	writeJSON(w, http.StatusOK, response)
}

func (a *API) getClass(w http.ResponseWriter, r *http.Request) {
	set, source := a.loadTargets(r.Context())
	setETag(w, set.Version)
	class, ok := set.Class(resourceName(r))
	if !ok {
		writeNotFound(w, "no class has this name")
		return
	}
	writeJSON(w, http.StatusOK, resourceResponse{Version: set.Version, Source: source, Class: newClassView(class)})
}

// putClass creates a class or replaces the existing class of that name.
func (a *API) putClass(w http.ResponseWriter, r *http.Request) {
	change, ok := parseChangeRequest(w, r)
	if !ok {
		return
	}
	name := resourceName(r)
	decoder := newObjectDecoder(change.body)
	if !decoder.malformed && !decoder.has("tier") {
		// An omitted tier would decode as 0, the most urgent tier.
		decoder.addProblem("tier", "must be set")
	}
	class := decodeClass(decoder, targets.Class{Name: name})
	change.problems = append(change.problems, decoder.finishWith(class.Problems())...)
	a.applyChange(w, r, change, func(set *targets.Set) error {
		set.PutClass(class)
		return nil
	}, attachClass(name), "")
}

// patchClass changes the fields of a class that the body contains.
func (a *API) patchClass(w http.ResponseWriter, r *http.Request) {
	change, ok := parseChangeRequest(w, r)
	if !ok {
		return
	}
	name := resourceName(r)
	decoder := newObjectDecoder(change.body)
	decodeClass(decoder, targets.Class{Name: name})
	change.problems = append(change.problems, decoder.finish()...)
	a.applyChange(w, r, change, func(set *targets.Set) error {
		class, ok := set.Class(name)
		if !ok {
			return errResourceNotFound
		}
		class = decodeClass(newObjectDecoder(change.body), class)
		if problems := class.Problems(); len(problems) > 0 {
			return &targets.ValidationError{Problems: problems}
		}
		set.PutClass(class)
		return nil
	}, attachClass(name), "")
}

// retireClass marks a class as retired, so that it takes no new requests. The
// class stays listed because its requests may still be running, and PUT or
// PATCH can reactivate it.
func (a *API) retireClass(w http.ResponseWriter, r *http.Request) {
	change, ok := parseChangeRequest(w, r)
	if !ok {
		return
	}
	name := resourceName(r)
	a.applyChange(w, r, change, func(set *targets.Set) error {
		class, ok := set.Class(name)
		if !ok {
			return errResourceNotFound
		}
		class.Retired = true
		set.PutClass(class)
		return nil
	}, attachClass(name), "")
}

// decodeClass returns class with the fields in the body replaced.
func decodeClass(decoder *objectDecoder, class targets.Class) targets.Class {
	name := class.Name
	decoder.stringField("name", &name)
	if name != class.Name {
		decoder.addProblem("name", "must be the name in the path")
	}
	decoder.intField("tier", &class.Tier)
	decoder.stringField("model", &class.Model)
	decoder.stringField("service", &class.Service)
	decoder.durationField("first_token", &class.FirstToken)
	decoder.durationField("between_tokens", &class.BetweenTokens)
	decoder.durationField("completion", &class.Completion)
	decoder.boolField("repeatable", &class.Repeatable)
	decoder.boolField("retired", &class.Retired)
	return class
}

// attachClass returns an attachFunc for the named class.
func attachClass(name string) attachFunc {
	return func(set *targets.Set, class **classView, _ **customerView) {
		if c, ok := set.Class(name); ok {
			*class = newClassView(c)
		}
	}
}
