package load

import "time"

// Shape is the load of a mix over time.
type Shape struct {
	// Name identifies the shape.
	Name string `yaml:"name" json:"name"`
	// Phases are the phases in order of time.
	Phases []Phase `yaml:"phases" json:"phases"`
}

// Phase is a period of constant load.
type Phase struct {
	// Name identifies the phase in reports.
	Name string `yaml:"name" json:"name"`
	// Duration is the length of the phase.
	Duration time.Duration `yaml:"duration" json:"duration"`
	// Load is the base load as a fraction of the fleet's capacity. It is
	// divided among the classes by their LoadShare.
	Load float64 `yaml:"load" json:"load"`
	// Burst is the additional load of Mix.BurstClass, as a multiple of the
	// capacity of its model's engines.
	Burst float64 `yaml:"burst" json:"burst,omitempty"`
	// Rates are additional request rates of single classes.
	Rates []Rate `yaml:"rates" json:"rates,omitempty"`
	// HotShare is the fraction of all requests that the first customer
	// sends. If zero, Customer.Share applies to all customers.
	HotShare float64 `yaml:"hot_share" json:"hot_share,omitempty"`
	// Faults are injected during the phase.
	Faults []Fault `yaml:"faults" json:"faults,omitempty"`
}

// Rate is the request rate of a class.
type Rate struct {
	// Class is the class's name.
	Class string `yaml:"class" json:"class"`
	// PerSecond is the mean number of requests per second.
	PerSecond float64 `yaml:"per_second" json:"per_second"`
}

// Fault is a fault that is injected into one engine.
type Fault struct {
	// Engine is the index of the engine in the fleet.
	Engine int `yaml:"engine" json:"engine"`
	// Slowdown multiplies the engine's delays; 0 and 1 are full speed.
	Slowdown float64 `yaml:"slow" json:"slow,omitempty"`
	// ExternalStreams is the number of simulated streams of other routers
	// that use the engine's capacity.
	ExternalStreams int `yaml:"foreign" json:"foreign,omitempty"`
}
