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
	offset time.Duration
	// index is the request's position in order of time.
	index int
	// phase, class and customer are indexes into the scenario's lists.
	phase          int
	class          int
	customer       int
	promptTokens   int
	responseTokens int
}

// schedule draws all arrivals of a scenario in advance, in order of time. The
// same seed gives the same arrivals, independently of the system's responses.
func schedule(s Scenario, seed uint64) []arrival {
	var arrivals []arrival
	var start time.Duration
	for phaseIndex, phase := range s.Shape.Phases {
		for classIndex := range s.Mix.Classes {
			sequence := uint64(phaseIndex)<<32 | uint64(classIndex)
			random := rand.New(rand.NewPCG(seed, sequence))
			arrivals = append(arrivals, s.drawArrivals(random, phaseIndex, classIndex, start)...)
		}
		start += phase.Duration
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].offset < arrivals[j].offset })
	for i := range arrivals {
		arrivals[i].index = i
	}
	return arrivals
}

// drawArrivals draws the arrivals of a class in a phase as a Poisson process.
func (s Scenario) drawArrivals(random *rand.Rand, phaseIndex, classIndex int, start time.Duration) []arrival {
	phase := s.Shape.Phases[phaseIndex]
	class := s.Mix.Classes[classIndex]
	rate := s.arrivalRate(phaseIndex, classIndex)
	if rate <= 0 {
		return nil
	}
	var arrivals []arrival
	for offset := drawInterarrivalTime(random, rate); offset < phase.Duration; offset += drawInterarrivalTime(random, rate) {
		arrivals = append(arrivals, arrival{
			offset:         start + offset,
			phase:          phaseIndex,
			class:          classIndex,
			customer:       s.drawCustomer(random, phase),
			promptTokens:   drawLogNormalLength(random, class.PromptTokens, class.LengthLogStdDev, maxPromptTokens),
			responseTokens: drawLogNormalLength(random, class.ResponseTokens, class.LengthLogStdDev, engine.MaxResponseTokens),
		})
	}
	return arrivals
}

// arrivalRate returns the mean number of requests per second of a class in a
// phase.
func (s Scenario) arrivalRate(phaseIndex, classIndex int) float64 {
	phase := s.Shape.Phases[phaseIndex]
	class := s.Mix.Classes[classIndex]
	var totalShares float64
	for _, other := range s.Mix.Classes {
		totalShares += other.LoadShare
	}
	var streams float64
	if totalShares > 0 {
		streams = phase.Load * s.Mix.Fleet.fullSpeedStreams() * class.LoadShare / totalShares
	}
	if class.Name == s.Mix.BurstClass {
		streams += phase.Burst * s.Mix.fullSpeedStreamsOf(s.Mix.ModelOf(class))
	}
	var rate float64
	if class.Service == "" {
		rate = streams / class.streamTime(s.Mix.Fleet).Seconds()
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
	var totalShares float64
	for _, customer := range customers[first:] {
		totalShares += customer.Share
	}
	remaining := random.Float64() * totalShares
	for i, customer := range customers[first:] {
		remaining -= customer.Share
		if remaining < 0 {
			return first + i
		}
	}
	return len(customers) - 1
}

// drawInterarrivalTime draws the exponentially distributed time to the next
// arrival. rate is in requests per second.
func drawInterarrivalTime(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}
