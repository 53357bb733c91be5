package load

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/applepier/applepier/testbed/engine"
)

// arrival is one scheduled request.
type arrival struct {
	// offset is the scheduled time since the start of the run.
	at time.Duration
	// index is the request's position in order of time.
	number   int
	// phase, class and customer are indexes into the scenario's lists.
	phase    int
	class    int
	customer int
	prompt int
	answer int
}

// schedule draws all arrivals of a scenario in advance, in order of time. The
// same seed gives the same arrivals, independently of the system's responses.
func schedule(s Scenario, seed uint64) []arrival {
	var arrivals []arrival
	var start time.Duration
	for p, phase := range s.Shape.Phases {
		for c := range s.Mix.Classes {
			stream := uint64(p)<<32 | uint64(c)
			random := rand.New(rand.NewPCG(seed, stream))
			arrivals = append(arrivals, s.drawClass(random, p, c, start)...)
		}
		start += phase.Duration
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].at < arrivals[j].at })
	for i := range arrivals {
		arrivals[i].number = i
	}
	return arrivals
}

// drawArrivals draws the arrivals of a class in a phase as a Poisson process.
func (s Scenario) drawClass(random *rand.Rand, p, c int, start time.Duration) []arrival {
	phase := s.Shape.Phases[p]
	class := s.Mix.Classes[c]
	rate := s.rate(p, c)
	if rate <= 0 {
		return nil
	}
	var arrivals []arrival
	for at := gap(random, rate); at < phase.Duration; at += gap(random, rate) {
		arrivals = append(arrivals, arrival{
			at:       start + at,
			phase:    p,
			class:    c,
			customer: s.drawCustomer(random, phase),
			prompt:   drawLength(random, class.PromptTokens, class.Spread, maxPrompt),
			answer:   drawLength(random, class.AnswerTokens, class.Spread, engine.MaxAnswer),
		})
	}
	return arrivals
}

// arrivalRate returns the mean number of requests per second of a class in a
// phase.
func (s Scenario) rate(p, c int) float64 {
	phase := s.Shape.Phases[p]
	class := s.Mix.Classes[c]
	var shares float64
	for _, other := range s.Mix.Classes {
		shares += other.WorkShare
	}
	var streams float64
	if shares > 0 {
		streams = phase.Load * s.Mix.Fleet.streams() * class.WorkShare / shares
	}
	if class.Name == s.Mix.BurstClass {
		streams += phase.Burst * s.Mix.modelStreams(s.Mix.ModelOf(class))
	}
	var rate float64
	if class.Service == "" {
		rate = streams / class.cost(s.Mix.Fleet).Seconds()
	}
	for _, extra := range phase.Rates {
		if extra.Class == class.Name {
			rate += extra.PerSecond
		}
	}
	return rate
}

// drawCustomer draws the index of the customer that sends a request.
func (s Scenario) drawCustomer(random *rand.Rand, phase Phase) int {
	customers := s.Mix.Customers
	if phase.HotShare > 0 && (random.Float64() < phase.HotShare || len(customers) == 1) {
		return 0
	}
	first := 0
	if phase.HotShare > 0 {
		first = 1
	}
	var total float64
	for _, customer := range customers[first:] {
		total += customer.Share
	}
	left := random.Float64() * total
	for i, customer := range customers[first:] {
		left -= customer.Share
		if left < 0 {
			return first + i
		}
	}
	return len(customers) - 1
}

// gap draws the exponentially distributed time to the next arrival, for a rate
// per second.
func gap(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}
