package admin

import (
	"net/http"

	"github.com/applepier/applepier/internal/targets"
)

func (a *API) listClasses(w http.ResponseWriter, r *http.Request) {
	set, from := a.read(r.Context())
	answer := classesAnswer{Version: set.Version, Source: from, Classes: []*classView{}}
	for _, c := range set.Classes {
		answer.Classes = append(answer.Classes, viewClass(c))
	}
	setVersion(w, set.Version)
	writeJSON(w, http.StatusOK, answer)
}

func (a *API) getClass(w http.ResponseWriter, r *http.Request) {
	set, from := a.read(r.Context())
	setVersion(w, set.Version)
	class, ok := set.Class(pathName(r))
	if !ok {
		writeNotFound(w, "no class has this name")
		return
	}
	writeJSON(w, http.StatusOK, resourceAnswer{Version: set.Version, Source: from, Class: viewClass(class)})
}

// putClass creates a class, or replaces the one of its name.
func (a *API) putClass(w http.ResponseWriter, r *http.Request) {
	c, ok := readChange(w, r)
	if !ok {
		return
	}
	name := pathName(r)
	f := parseFields(c.body)
	if !f.broken && !f.has("tier") {
		// Zero is the most urgent tier, which nobody should get by omission.
		f.problem("tier", "must be set")
	}
	class := readClass(f, targets.Class{Name: name})
	c.problems = append(c.problems, f.finishWith(class.Problems())...)
	a.apply(w, r, c, func(set *targets.Set) error {
		set.PutClass(class)
		return nil
	}, classState(name), "")
}

// patchClass changes the given fields of a class and leaves the others.
func (a *API) patchClass(w http.ResponseWriter, r *http.Request) {
	c, ok := readChange(w, r)
	if !ok {
		return
	}
	name := pathName(r)
	f := parseFields(c.body)
	readClass(f, targets.Class{Name: name})
	c.problems = append(c.problems, f.finish()...)
	a.apply(w, r, c, func(set *targets.Set) error {
		class, ok := set.Class(name)
		if !ok {
			return errNoResource
		}
		class = readClass(parseFields(c.body), class)
		if problems := class.Problems(); len(problems) > 0 {
			return &targets.ValidationError{Problems: problems}
		}
		set.PutClass(class)
		return nil
	}, classState(name), "")
}

// retireClass makes a class take no new requests. It stays listed, since
// requests of it may still run, and PUT or PATCH can bring it back.
func (a *API) retireClass(w http.ResponseWriter, r *http.Request) {
	c, ok := readChange(w, r)
	if !ok {
		return
	}
	name := pathName(r)
	a.apply(w, r, c, func(set *targets.Set) error {
		class, ok := set.Class(name)
		if !ok {
			return errNoResource
		}
		class.Retired = true
		set.PutClass(class)
		return nil
	}, classState(name), "")
}

// readClass puts the fields of a body over a class.
func readClass(f *fields, class targets.Class) targets.Class {
	name := class.Name
	f.text("name", &name)
	if name != class.Name {
		f.problem("name", "must be the name in the path")
	}
	f.number("tier", &class.Tier)
	f.text("model", &class.Model)
	f.text("service", &class.Service)
	f.duration("first_token", &class.FirstToken)
	f.duration("between_tokens", &class.BetweenTokens)
	f.duration("completion", &class.Completion)
	f.flag("repeatable", &class.Repeatable)
	f.flag("retired", &class.Retired)
	return class
}

// classState adds a class to an answer.
func classState(name string) resource {
	return func(set *targets.Set, class **classView, _ **customerView) {
		if c, ok := set.Class(name); ok {
			*class = viewClass(c)
		}
	}
}
