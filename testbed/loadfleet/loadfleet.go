// Package loadfleet starts the fleet of processes that a load scenario is sized
// for and configures the load generator to send to it.
package loadfleet

import (
	"context"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/testbed/fleet"
	"github.com/applepier/applepier/testbed/load"
)

// Start starts the engines and plain services of a mix with their agents, and the
// given number of entries, which are configured with the classes and customers of
// the mix. If binaries is nil, they are built. The caller must stop the fleet.
func Start(ctx context.Context, mix load.Mix, entries int, binaries *fleet.Binaries) (*fleet.Fleet, error) {
	return fleet.Start(ctx, fleet.Options{
		Binaries:  binaries,
		Entries:   entries,
		Backends:  append(engineSpecs(mix), serviceSpecs(mix)...),
		Classes:   targetClasses(mix),
		Customers: customerNames(mix),
		LogLevel:  "warn",
	})
}

// LoadOptions returns options for a run of the scenario against a fleet. They
// include the customers' keys and the URLs of entries and engines.
func LoadOptions(f *fleet.Fleet, scenario load.Scenario) load.Options {
	options := load.Options{Scenario: scenario}
	customersWithKeys := make([]load.Customer, len(scenario.Mix.Customers))
	for i, customer := range scenario.Mix.Customers {
		customer.Key = fleet.CustomerKey(customer.Name)
		customersWithKeys[i] = customer
	}
	options.Scenario.Mix.Customers = customersWithKeys
	for _, entry := range f.Entries {
		options.Entries = append(options.Entries, entry.URL)
	}
	for _, backend := range f.Backends {
		if backend.Server.Spec.Kind == settings.BackendEngine {
			options.Engines = append(options.Engines, backend.Server.URL)
		}
	}
	return options
}

// engineSpecs returns the engines in the order of the indexes in load.Fault.
func engineSpecs(mix load.Mix) []fleet.BackendSpec {
	mixFleet := mix.Fleet
	specs := fleet.Engines(mixFleet.Engines, mix.Model, mixFleet.Capacity, mixFleet.TokenInterval)
	for _, other := range mixFleet.OtherModels {
		specs = append(specs, fleet.Engines(other.Engines, other.Model, mixFleet.Capacity, mixFleet.TokenInterval)...)
	}
	for i := range specs {
		specs[i].PrefillPerToken = mixFleet.PrefillPerToken
	}
	return specs
}

func serviceSpecs(mix load.Mix) []fleet.BackendSpec {
	var specs []fleet.BackendSpec
	for _, class := range mix.Classes {
		if class.Service != "" {
			specs = append(specs, fleet.BackendSpec{Kind: settings.BackendService, Serves: class.Service})
		}
	}
	return specs
}

// targetClasses returns the classes as an operator configures them, with latency
// targets and tier. Calls of plain services have side effects, so their classes
// are not repeatable.
func targetClasses(mix load.Mix) []targets.Class {
	var converted []targets.Class
	for _, class := range mix.Classes {
		converted = append(converted, targets.Class{
			Name:          class.Name,
			Tier:          class.Tier,
			Model:         mix.ModelOf(class),
			Service:       class.Service,
			FirstToken:    class.FirstToken,
			BetweenTokens: class.BetweenTokens,
			Completion:    class.Completion,
			Repeatable:    class.Service == "",
		})
	}
	return converted
}

func customerNames(mix load.Mix) []string {
	var names []string
	for _, customer := range mix.Customers {
		names = append(names, customer.Name)
	}
	return names
}
