package load

import "time"

// Mix is a workload: its customers, its classes of requests and the fleet of
// engines it is sized for.
type Mix struct {
	// Name identifies the mix.
	Name string `yaml:"name" json:"name"`
	// Model is the model of classes that do not set their own.
	Model string `yaml:"model" json:"model"`
	// BurstClass is the name of the class that Phase.Burst applies to.
	BurstClass string `yaml:"burst_class" json:"burst_class"`
	// Fleet is the capacity to which loads are relative.
	Fleet Fleet `yaml:"fleet" json:"fleet"`
	// Customers are the customers that send the requests. Phase.HotShare
	// applies to the first.
	Customers []Customer `yaml:"customers" json:"customers"`
	// Classes are the classes of requests.
	Classes []Class `yaml:"classes" json:"classes"`
}

// Fleet is the number and the speed of the engines.
type Fleet struct {
	// Engines is the number of engines of Mix.Model.
	Engines int `yaml:"engines" json:"engines"`
	// OtherModels are the engines of further models.
	OtherModels []ModelEngines `yaml:"others" json:"others,omitempty"`
	// Capacity is the number of streams that one engine runs at full speed.
	Capacity int `yaml:"capacity" json:"capacity"`
	// TokenInterval is the time between tokens at full speed.
	TokenInterval time.Duration `yaml:"interval" json:"interval"`
	// PrefillPerToken is the prefill time of one prompt token.
	PrefillPerToken time.Duration `yaml:"prefill_per_token" json:"prefill_per_token"`
}

// ModelEngines is the number of engines of one model.
type ModelEngines struct {
	// Model is the model's name.
	Model string `yaml:"model" json:"model"`
	// Engines is the number of engines.
	Engines int `yaml:"engines" json:"engines"`
}

// TotalEngines returns the number of engines of all models.
func (f Fleet) TotalEngines() int {
	engines := f.Engines
	for _, other := range f.OtherModels {
		engines += other.Engines
	}
	return engines
}

// fullSpeedStreams returns the number of streams that the fleet runs at full
// speed.
func (f Fleet) fullSpeedStreams() float64 {
	return float64(f.TotalEngines() * f.Capacity)
}

// fullSpeedStreamsOf returns the number of streams that the engines of a model
// run at full speed.
func (m Mix) fullSpeedStreamsOf(model string) float64 {
	for _, other := range m.Fleet.OtherModels {
		if other.Model == model {
			return float64(other.Engines * m.Fleet.Capacity)
		}
	}
	return float64(m.Fleet.Engines * m.Fleet.Capacity)
}

// ModelOf returns the model that a class runs on, or "" for a plain service.
func (m Mix) ModelOf(class Class) string {
	if class.Service != "" || class.Model != "" {
		return class.Model
	}
	return m.Model
}

// Customer is a customer of the system. It sends requests of all classes.
type Customer struct {
	// Name is sent as X-Applepier-Customer.
	Name string `yaml:"name" json:"name"`
	// Key is sent as the bearer token; no token is sent if it is empty.
	Key string `yaml:"key" json:"-"`
	// Share is the relative weight of the customer in all requests.
	Share float64 `yaml:"share" json:"share"`
}
