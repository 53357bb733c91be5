package load

import "time"

// Mix is what one user of the system sends: customers and classes, and the
// fleet of engines that it is sized for.
type Mix struct {
	// Name identifies the mix.
	Name string `yaml:"name" json:"name"`
	// Model is the model that the classes run on.
	Model string `yaml:"model" json:"model"`
	// BurstClass is the class that bursts.
	BurstClass string `yaml:"burst_class" json:"burst_class"`
	// Fleet is what the load is relative to.
	Fleet Fleet `yaml:"fleet" json:"fleet"`
	// Customers send the requests; the first is the hot one in scenarios
	// that have one.
	Customers []Customer `yaml:"customers" json:"customers"`
	// Classes are the classes of work.
	Classes []Class `yaml:"classes" json:"classes"`
}

// Fleet sizes the engines.
type Fleet struct {
	// Engines is how many there are of the mix's model.
	Engines int `yaml:"engines" json:"engines"`
	// Others are engines of further models.
	Others []ModelEngines `yaml:"others" json:"others,omitempty"`
	// Capacity is how many streams one runs at full speed.
	Capacity int `yaml:"capacity" json:"capacity"`
	// Interval is the time between tokens at full speed.
	Interval time.Duration `yaml:"interval" json:"interval"`
	// PrefillPerToken is the time to read one prompt token.
	PrefillPerToken time.Duration `yaml:"prefill_per_token" json:"prefill_per_token"`
}

// ModelEngines are the engines of one model.
type ModelEngines struct {
	// Model is the model's name.
	Model string `yaml:"model" json:"model"`
	// Engines is how many there are.
	Engines int `yaml:"engines" json:"engines"`
}

// AllEngines is how many engines there are of all models.
func (f Fleet) AllEngines() int {
	engines := f.Engines
	for _, other := range f.Others {
		engines += other.Engines
	}
	return engines
}

// streams is how many streams the fleet runs at full speed.
func (f Fleet) streams() float64 {
	return float64(f.AllEngines() * f.Capacity)
}

// modelStreams is how many streams a model's engines run at full speed.
func (m Mix) modelStreams(model string) float64 {
	for _, other := range m.Fleet.Others {
		if other.Model == model {
			return float64(other.Engines * m.Fleet.Capacity)
		}
	}
	return float64(m.Fleet.Engines * m.Fleet.Capacity)
}

// ModelOf is the model that a class runs on; empty for a plain service.
func (m Mix) ModelOf(class Class) string {
	if class.Service != "" || class.Model != "" {
		return class.Model
	}
	return m.Model
}

// Customer sends requests of all classes.
type Customer struct {
	// Name is sent as X-Applepier-Customer.
	Name string `yaml:"name" json:"name"`
	// Key is sent as the bearer token; none when empty.
	Key string `yaml:"key" json:"-"`
	// Share is its part of all requests, relative to the others'.
	Share float64 `yaml:"share" json:"share"`
}
