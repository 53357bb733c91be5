package admin

import (
	"crypto/rand"
	"net/http"

	"github.com/applepier/applepier/internal/auth"
	"github.com/applepier/applepier/internal/targets"
)

// apiKeyPrefix lets people and scanners for leaked secrets recognize a key.
const apiKeyPrefix = "applepier_"

func (a *API) listCustomers(w http.ResponseWriter, r *http.Request) {
	set, from := a.read(r.Context())
	answer := customersAnswer{Version: set.Version, Source: from, Customers: []customerView{}}
	for _, c := range set.Customers {
		answer.Customers = append(answer.Customers, customerView{Name: c.Name})
	}
	setVersion(w, set.Version)
	writeJSON(w, http.StatusOK, answer)
}

func (a *API) getCustomer(w http.ResponseWriter, r *http.Request) {
	set, from := a.read(r.Context())
	setVersion(w, set.Version)
	customer, ok := set.Customer(pathName(r))
	if !ok {
		writeNotFound(w, "no customer has this name")
		return
	}
	writeJSON(w, http.StatusOK, resourceAnswer{Version: set.Version, Source: from, Customer: &customerView{Name: customer.Name}})
}

// putCustomer creates a customer, or gives an existing one another key. It
// takes the key's hash from the body, or makes a new key and tells it once.
func (a *API) putCustomer(w http.ResponseWriter, r *http.Request) {
	c, ok := readChange(w, r)
	if !ok {
		return
	}
	customer := targets.Customer{Name: pathName(r)}
	f := parseFields(c.body)
	name := customer.Name
	f.text("name", &name)
	if name != customer.Name {
		f.problem("name", "must be the name in the path")
	}
	given := f.has("key_hash")
	f.text("key_hash", &customer.KeyHash)
	apiKey := ""
	if !given {
		apiKey = apiKeyPrefix + rand.Text()
		customer.KeyHash = auth.HashKey(apiKey)
	}
	c.problems = append(c.problems, f.finishWith(customer.Problems())...)
	a.apply(w, r, c, func(set *targets.Set) error {
		set.PutCustomer(customer)
		return nil
	}, customerState(customer.Name), apiKey)
}

// removeCustomer removes a customer, whose key is refused from then on.
func (a *API) removeCustomer(w http.ResponseWriter, r *http.Request) {
	c, ok := readChange(w, r)
	if !ok {
		return
	}
	name := pathName(r)
	a.apply(w, r, c, func(set *targets.Set) error {
		if !set.RemoveCustomer(name) {
			return errNoResource
		}
		return nil
	}, customerState(name), "")
}

// customerState adds a customer to an answer.
func customerState(name string) resource {
	return func(set *targets.Set, _ **classView, customer **customerView) {
		if c, ok := set.Customer(name); ok {
			*customer = &customerView{Name: c.Name}
		}
	}
}
