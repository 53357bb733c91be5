package admin

import (
	"crypto/rand"
	"net/http"

	"github.com/applepier/applepier/internal/auth"
	"github.com/applepier/applepier/internal/targets"
)

// apiKeyPrefix marks API keys so that people and secret scanners recognize them.
const apiKeyPrefix = "applepier_"

func (a *API) listCustomers(w http.ResponseWriter, r *http.Request) {
	set, source := a.loadTargets(r.Context())
	response := customersResponse{Version: set.Version, Source: source, Customers: []customerView{}}
	for _, c := range set.Customers {
		response.Customers = append(response.Customers, customerView{Name: c.Name})
	}
	setETag(w, set.Version)
	writeJSON(w, http.StatusOK, response)
}

func (a *API) getCustomer(w http.ResponseWriter, r *http.Request) {
	set, source := a.loadTargets(r.Context())
	setETag(w, set.Version)
	customer, ok := set.Customer(resourceName(r))
	if !ok {
		writeNotFound(w, "no customer has this name")
		return
	}
	writeJSON(w, http.StatusOK, resourceResponse{Version: set.Version, Source: source, Customer: &customerView{Name: customer.Name}})
}

// putCustomer creates a customer or replaces the key of an existing one. It
// uses the key hash in the body. If there is none, it generates a key and
// returns it in this response only.
func (a *API) putCustomer(w http.ResponseWriter, r *http.Request) {
	change, ok := parseChangeRequest(w, r)
	if !ok {
		return
	}
	customer := targets.Customer{Name: resourceName(r)}
	decoder := newObjectDecoder(change.body)
	name := customer.Name
	decoder.stringField("name", &name)
	if name != customer.Name {
		decoder.addProblem("name", "must be the name in the path")
	}
	hasKeyHash := decoder.has("key_hash")
	decoder.stringField("key_hash", &customer.KeyHash)
	apiKey := ""
	if !hasKeyHash {
		apiKey = apiKeyPrefix + rand.Text()
		customer.KeyHash = auth.HashKey(apiKey)
	}
	change.problems = append(change.problems, decoder.finishWith(customer.Problems())...)
	a.applyChange(w, r, change, func(set *targets.Set) error {
		set.PutCustomer(customer)
		return nil
	}, attachCustomer(customer.Name), apiKey)
}

// removeCustomer removes a customer. Its key is rejected from then on.
func (a *API) removeCustomer(w http.ResponseWriter, r *http.Request) {
	change, ok := parseChangeRequest(w, r)
	if !ok {
		return
	}
	name := resourceName(r)
	a.applyChange(w, r, change, func(set *targets.Set) error {
		if !set.RemoveCustomer(name) {
			return errResourceNotFound
		}
		return nil
	}, attachCustomer(name), "")
}

// attachCustomer returns an attachFunc for the named customer.
func attachCustomer(name string) attachFunc {
	return func(set *targets.Set, _ **classView, customer **customerView) {
		if c, ok := set.Customer(name); ok {
			*customer = &customerView{Name: c.Name}
		}
	}
}
