package zonerouting_test

import (
	"math"
	"testing"
	"time"
)

// constantDemand returns the demand of a scenario whose zones' demands don't change; load is the
// whole demand relative to the capacity.
func constantDemand(load float64, parts ...float64) func(int, time.Duration) float64 {
	sum := 0.0
	for _, part := range parts {
		sum += part
	}
	return func(zone int, _ time.Duration) float64 { return load * parts[zone] / sum }
}

// waves returns the demand of a scenario with three equal zones whose demands swing with shifted
// phases.
func waves(load, swing float64, period time.Duration) func(int, time.Duration) float64 {
	return func(zone int, at time.Duration) float64 {
		phase := at.Seconds()/period.Seconds() + float64(zone)/3
		return load / 3 * (1 + swing*math.Sin(2*math.Pi*phase))
	}
}

// Guards against plans that lose what one pool of all servers would serve on time, and against plans
// that send more between zones than the fixed cost of a crossing does. Gateways plan at different
// times and with different figures; two zones must not send to each other nevertheless.
func TestBoundsOverOnePoolAndFixedCost(t *testing.T) {
	equal := []int{8, 8, 8}
	scenarios := map[string]scenario{
		"demand 2:1:1, servers 1:2:1":  {servers: []int{6, 12, 6}, gateways: 6, demand: constantDemand(0.8, 2, 1, 1)},
		"the same with 68 gateways":    {servers: []int{6, 12, 6}, gateways: 68, demand: constantDemand(0.8, 2, 1, 1)},
		"the same with 410 gateways":   {servers: []int{6, 12, 6}, gateways: 410, demand: constantDemand(0.8, 2, 1, 1)},
		"the same at a high price":     {servers: []int{6, 12, 6}, gateways: 68, demand: constantDemand(0.8, 2, 1, 1), price: 2000},
		"waves of 11 s, swing 0.27":    {servers: equal, gateways: 68, demand: waves(0.8, 0.27, 11*time.Second)},
		"waves of 11 s, swing 0.55":    {servers: equal, gateways: 68, demand: waves(0.8, 0.55, 11*time.Second)},
		"waves of 15 s, swing 0.27":    {servers: equal, gateways: 6, demand: waves(0.8, 0.27, 15*time.Second)},
		"waves of 15 s, swing 0.55":    {servers: equal, gateways: 68, demand: waves(0.8, 0.55, 15*time.Second)},
		"waves with 410 gateways":      {servers: equal, gateways: 410, demand: waves(0.8, 0.55, 11*time.Second)},
		"waves around full capacity":   {servers: equal, gateways: 68, demand: waves(1, 0.55, 11*time.Second)},
		"a zone lost":                  {servers: equal, gateways: 68, demand: constantDemand(0.6, 1, 1, 1), lostAt: 12 * time.Second},
		"a hot prefix in one zone":     {servers: equal, gateways: 68, demand: constantDemand(0.75, 2, 1, 1), hotShare: 0.5},
		"information that is 3 s old":  {servers: equal, gateways: 68, demand: constantDemand(0.8, 2, 1, 1), otherZonesAge: 3 * time.Second},
		"old information during waves": {servers: equal, gateways: 68, demand: waves(0.7, 0.27, 15*time.Second), otherZonesAge: 3 * time.Second},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool, _ := newModel(s, onePool).run()
			fixed, fixedBytes := newModel(s, fixedCost).run()
			plan := newModel(s, byPlan)
			planned, plannedBytes := plan.run()
			t.Logf("on time: one pool %.3f, fixed cost %.3f, plan %.3f; MB/s between zones: fixed cost %.2f, plan %.2f", pool, fixed, planned, fixedBytes/1e6, plannedBytes/1e6)
			if planned < pool-0.02 {
				t.Errorf("%.3f on time, %.3f with one pool", planned, pool)
			}
			if plannedBytes > fixedBytes {
				t.Errorf("%.0f bytes per second between zones, %.0f with the fixed cost", plannedBytes, fixedBytes)
			}
			if plan.opposed > 0 {
				t.Errorf("%d plans send to a zone whose gateways send back", plan.opposed)
			}
		})
	}
}
