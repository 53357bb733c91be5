package load

import "time"

// Shape is how the load of a mix goes over time.
type Shape struct {
	// Name identifies the shape.
	Name string `yaml:"name" json:"name"`
	// Phases follow one another.
	Phases []Phase `yaml:"phases" json:"phases"`
}

// Phase is a time of constant load.
type Phase struct {
	// Name identifies the phase in results.
	Name string `yaml:"name" json:"name"`
	// Duration is how long it lasts.
	Duration time.Duration `yaml:"duration" json:"duration"`
	// Load is the ordinary load as a part of the fleet's capacity, divided
	// among the classes by their shares of work.
	Load float64 `yaml:"load" json:"load"`
	// Burst is what the mix's bursting class adds, as a multiple of the
	// capacity of its model's engines.
	Burst float64 `yaml:"burst" json:"burst,omitempty"`
	// Rates adds requests of single classes.
	Rates []Rate `yaml:"rates" json:"rates,omitempty"`
	// HotShare is the part of all requests that the first customer sends;
	// zero leaves the customers' shares.
	HotShare float64 `yaml:"hot_share" json:"hot_share,omitempty"`
	// Faults hold for the phase.
	Faults []Fault `yaml:"faults" json:"faults,omitempty"`
}

// Rate is how often requests of a class are sent.
type Rate struct {
	// Class is the class's name.
	Class string `yaml:"class" json:"class"`
	// PerSecond is the mean number of requests a second.
	PerSecond float64 `yaml:"per_second" json:"per_second"`
}

// Fault is what ails one engine.
type Fault struct {
	// Engine is its index.
	Engine int `yaml:"engine" json:"engine"`
	// Slow multiplies its times; zero is full speed.
	Slow float64 `yaml:"slow" json:"slow,omitempty"`
	// Foreign is how many streams of others it runs.
	Foreign int `yaml:"foreign" json:"foreign,omitempty"`
}
