// Package load is an open-loop load generator. It sends seeded random requests
// by class, compares each response with the expected one and summarizes outcomes
// and latencies by class. The entry point is Run.
package load

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// Scenario is a workload and its load over time.
type Scenario struct {
	Mix   Mix   `json:"mix"`
	Shape Shape `json:"shape"`
}

// ParseScenario parses and validates a mix and a shape in YAML. Unknown keys are
// errors that give the line and column.
func ParseScenario(mix, shape []byte) (Scenario, error) {
	var s Scenario
	if err := yaml.UnmarshalWithOptions(mix, &s.Mix, yaml.Strict()); err != nil {
		return Scenario{}, errors.Wrap(err, "read mix")
	}
	if err := yaml.UnmarshalWithOptions(shape, &s.Shape, yaml.Strict()); err != nil {
		return Scenario{}, errors.Wrap(err, "read shape")
	}
	return s, s.validate()
}

// Name returns the names of the mix and the shape.
func (s Scenario) Name() string {
	return s.Mix.Name + " " + s.Shape.Name
}

// Duration returns the total duration of the phases.
func (s Scenario) Duration() time.Duration {
	var total time.Duration
	for _, phase := range s.Shape.Phases {
		total += phase.Duration
	}
	return total
}

// Scaled returns a copy of the scenario with the durations of its phases
// multiplied by factor.
func (s Scenario) Scaled(factor float64) Scenario {
	phases := make([]Phase, len(s.Shape.Phases))
	for i, phase := range s.Shape.Phases {
		phase.Duration = time.Duration(float64(phase.Duration) * factor)
		phases[i] = phase
	}
	s.Shape.Phases = phases
	return s
}

// classIndex returns the index of the class with the given name, or -1.
func (s Scenario) classIndex(name string) int {
	for i, class := range s.Mix.Classes {
		if class.Name == name {
			return i
		}
	}
	return -1
}

func (s Scenario) validate() error {
	fleet := s.Mix.Fleet
	switch {
	case len(s.Mix.Classes) == 0:
		return errors.New("mix has no classes")
	case len(s.Mix.Customers) == 0:
		return errors.New("mix has no customers")
	case len(s.Shape.Phases) == 0:
		return errors.New("shape has no phases")
	case fleet.Engines <= 0 || fleet.Capacity <= 0 || fleet.TokenInterval <= 0:
		return errors.New("fleet needs engines, capacity and interval above zero")
	case s.classIndex(s.Mix.BurstClass) < 0:
		return errors.Errorf("burst_class %q is not a class of the mix", s.Mix.BurstClass)
	}
	for _, class := range s.Mix.Classes {
		if class.Service == "" && (class.PromptTokens <= 0 || class.ResponseTokens <= 0) {
			return errors.Errorf("class %q needs prompt_tokens and answer_tokens above zero", class.Name)
		}
	}
	return s.validatePhases()
}

func (s Scenario) validatePhases() error {
	for _, phase := range s.Shape.Phases {
		for _, rate := range phase.Rates {
			if s.classIndex(rate.Class) < 0 {
				return errors.Errorf("phase %q: rates name the unknown class %q", phase.Name, rate.Class)
			}
		}
		for _, fault := range phase.Faults {
			if fault.Engine < 0 || fault.Engine >= s.Mix.Fleet.TotalEngines() {
				return errors.Errorf("phase %q: fault of engine %d, but the fleet has %d engines", phase.Name, fault.Engine, s.Mix.Fleet.TotalEngines())
			}
		}
	}
	return nil
}
