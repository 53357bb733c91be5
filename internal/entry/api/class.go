package api

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/applepier/applepier/internal/targets"
)

// classOf finds a request's class: the one it names, or the only one that its
// model has. Unknown names are answered with those there are.
func (a *API) classOf(set *targets.Set, name, model string) (targets.Class, *problem) {
	if !slices.Contains(a.config.Served.Serves(), model) && !hasModel(set, model) {
		return targets.Class{}, a.unknownModel(set, model)
	}
	if name == "" {
		return onlyClass(set, model)
	}
	class, ok := set.Class(name)
	if !ok || class.Retired {
		return targets.Class{}, unknownClass(set, name)
	}
	if class.Service != "" || (class.Model != "" && class.Model != model) {
		p := badRequest("wrong_model", "model", fmt.Sprintf("class %q runs on %q", name, class.Model+class.Service))
		return targets.Class{}, &p
	}
	return class, nil
}

func hasModel(set *targets.Set, model string) bool {
	return slices.ContainsFunc(set.Classes, func(c targets.Class) bool { return !c.Retired && c.Model == model })
}

func onlyClass(set *targets.Set, model string) (targets.Class, *problem) {
	var names []string
	var found targets.Class
	for _, c := range set.Classes {
		if !c.Retired && c.Model == model {
			names = append(names, c.Name)
			found = c
		}
	}
	if len(names) == 1 {
		return found, nil
	}
	p := badRequest("missing_class", HeaderClass, fmt.Sprintf("name the class of work in %s; classes: %s", HeaderClass, strings.Join(names, ", ")))
	return targets.Class{}, &p
}

func unknownClass(set *targets.Set, name string) *problem {
	p := badRequest("unknown_class", HeaderClass, fmt.Sprintf("there is no class %q; classes: %s", name, strings.Join(set.ClassNames(), ", ")))
	p.status = http.StatusNotFound
	return &p
}

func (a *API) unknownModel(set *targets.Set, model string) *problem {
	p := badRequest("model_not_found", "model", fmt.Sprintf("there is no model %q; models: %s", model, strings.Join(a.modelNames(set), ", ")))
	p.status = http.StatusNotFound
	return &p
}

// modelNames lists the models that classes run on.
func (a *API) modelNames(set *targets.Set) []string {
	var names []string
	for _, c := range set.Classes {
		if !c.Retired && c.Model != "" {
			names = append(names, c.Model)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
