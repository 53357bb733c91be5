package api

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/applepier/applepier/internal/targets"
)

// findClass returns the class that a chat request names, or the only class of its model
// if it names none. The error for an unknown class or model lists the existing classes or
// models.
func (a *API) findClass(set *targets.Set, name, model string) (targets.Class, *apiError) {
	if !slices.Contains(a.config.Catalog.Serves(), model) && !hasClassForModel(set, model) {
		return targets.Class{}, a.unknownModelError(set, model)
	}
	if name == "" {
		return onlyClassForModel(set, model)
	}
	class, ok := set.Class(name)
	if !ok || class.Retired {
		return targets.Class{}, unknownClassError(set, name)
	}
	if class.Service != "" || (class.Model != "" && class.Model != model) {
		e := badRequestError("wrong_model", "model", fmt.Sprintf("class %q runs on %q", name, class.Model+class.Service))
		return targets.Class{}, &e
	}
	return class, nil
}

func hasClassForModel(set *targets.Set, model string) bool {
	return slices.ContainsFunc(set.Classes, func(c targets.Class) bool { return !c.Retired && c.Model == model })
}

func onlyClassForModel(set *targets.Set, model string) (targets.Class, *apiError) {
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
	e := badRequestError("missing_class", HeaderClass, fmt.Sprintf("name the class of work in %s; classes: %s", HeaderClass, strings.Join(names, ", ")))
	return targets.Class{}, &e
}

func unknownClassError(set *targets.Set, name string) *apiError {
	e := badRequestError("unknown_class", HeaderClass, fmt.Sprintf("there is no class %q; classes: %s", name, strings.Join(set.ClassNames(), ", ")))
	e.status = http.StatusNotFound
	return &e
}

func (a *API) unknownModelError(set *targets.Set, model string) *apiError {
	e := badRequestError("model_not_found", "model", fmt.Sprintf("there is no model %q; models: %s", model, strings.Join(a.modelNames(set), ", ")))
	e.status = http.StatusNotFound
	return &e
}

// modelNames returns the models that active classes run on, sorted and without
// duplicates.
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
