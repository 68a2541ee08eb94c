package placement

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The seed is fixed, so that each run tests the same cases; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

var testLimit = SearchLimit{MaxSteps: 20_000, Seed: 1}

func drawFleet(t *rapid.T) *Fleet {
	f := &Fleet{Prices: DefaultPrices()}
	rooms := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "rooms")]
	amount := rapid.Float64Range(0, 60)
	for i := range rapid.IntRange(1, 6).Draw(t, "hosts") {
		f.Hosts = append(f.Hosts, Host{ID: fmt.Sprintf("h%d", i), Room: rapid.SampledFrom(rooms).Draw(t, "room"), Capacity: amount.Draw(t, "capacity")})
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "flights") {
		fl := Flight{ID: uint64(i + 1)}
		for _, r := range rooms {
			if rapid.Bool().Draw(t, "there") {
				load := amount.Draw(t, "load")
				fl.Parts = append(fl.Parts, Part{r, load, load * rapid.Float64Range(0.2, 3).Draw(t, "worth")})
			}
		}
		if rapid.Bool().Draw(t, "planned") {
			fl.CurrentHost = fmt.Sprintf("h%d", rapid.IntRange(0, 7).Draw(t, "was"))
		}
		f.Flights = append(f.Flights, fl)
	}
	return f
}

// More capacity of a host must lower neither the optimum nor the bound. The optimum is known where the solver reports
// the method as exact.
func TestMoreCapacityNeverLowersOptimumOrBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		before := Solve(f, testLimit)
		more := *f
		more.Hosts = slices.Clone(f.Hosts)
		more.Hosts[rapid.IntRange(0, len(f.Hosts)-1).Draw(t, "host")].Capacity += rapid.Float64Range(0, 40).Draw(t, "more")
		after := Solve(&more, testLimit)
		scale := 1e-6 * max(1, math.Abs(before.Total))
		assert.GreaterOrEqual(t, after.Bound, before.Total-scale)
		if after.Method == Exact {
			assert.GreaterOrEqual(t, after.Total, before.Total-scale)
		}
	})
}

// The names of hosts and rooms, and the order of the input, must not affect the value of a solution.
func TestNamesAndOrderDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		renamed := *f
		renamed.Hosts, renamed.Flights = slices.Clone(f.Hosts), slices.Clone(f.Flights)
		for i := range renamed.Hosts {
			renamed.Hosts[i].ID, renamed.Hosts[i].Room = "x"+renamed.Hosts[i].ID, "x"+renamed.Hosts[i].Room
		}
		for i := range renamed.Flights {
			renamed.Flights[i].Parts = slices.Clone(renamed.Flights[i].Parts)
			for j := range renamed.Flights[i].Parts {
				renamed.Flights[i].Parts[j].Room = "x" + renamed.Flights[i].Parts[j].Room
			}
			if renamed.Flights[i].CurrentHost != "" {
				renamed.Flights[i].CurrentHost = "x" + renamed.Flights[i].CurrentHost
			}
		}
		slices.Reverse(renamed.Hosts)
		slices.Reverse(renamed.Flights)
		a, b := Solve(f, testLimit), Solve(&renamed, testLimit)
		assert.Equal(t, a.Value, b.Value)
		assert.InDelta(t, a.Bound, b.Bound, 1e-9*max(1, a.Bound))
	})
}

// A search that is stopped at once must return a solution that is no worse than placement by key, and a bound that
// holds for what a longer search finds.
func TestSolveWithoutTimeReturnsValidSolution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		quick := Solve(f, SearchLimit{Stop: func() bool { return true }})
		s := &search{problem: newProblem(f)}
		assert.GreaterOrEqual(t, quick.Total, s.valueOf(s.hashPlacement()).Total-1e-9)
		assert.GreaterOrEqual(t, quick.Bound, Solve(f, testLimit).Total-1e-6)
	})
}

// In a feasible solution no host is over its usable capacity, all demand is placed, and nothing is reported as shed.
func TestFeasibleSolutionRespectsCapacities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		a := Solve(f, testLimit)
		load, held, placed, asked := map[string]float64{}, map[string]int{}, 0.0, 0.0
		for _, fl := range f.Flights {
			for _, p := range fl.Parts {
				asked += p.Load
			}
		}
		for _, fl := range a.Flights {
			at := map[string]bool{}
			for _, s := range fl.Loads {
				load[s.Host] += s.Load
				placed += s.Load
				if !at[s.Host] {
					at[s.Host] = true
					held[s.Host]++
				}
			}
		}
		if a.Feasible {
			assert.InDelta(t, asked, placed, 1e-9*max(asked, 1))
			for i := range f.Hosts {
				h := &f.Hosts[i]
				assert.LessOrEqual(t, load[h.ID]+f.Prices.PerHostOverhead*float64(held[h.ID]), h.UsableCapacity(&f.Prices)*(1+1e-6)+1e-9)
			}
			assert.Zero(t, a.ShedWorth)
		}
		assert.LessOrEqual(t, a.Total, a.Bound+1e-9*max(1, a.Bound))
	})
}

func singleHostFleet(capacity float64, loads ...float64) *Fleet {
	f := &Fleet{Prices: DefaultPrices(), Hosts: []Host{{ID: "h", Room: "a", Capacity: capacity}}}
	for i, l := range loads {
		f.Flights = append(f.Flights, Flight{ID: uint64(i), Parts: []Part{{"a", l, l}}})
	}
	return f
}

func TestEdgeCases(t *testing.T) {
	nothing := Solve(&Fleet{Prices: DefaultPrices()}, testLimit)
	assert.True(t, nothing.Feasible)
	assert.Zero(t, nothing.Total)

	withoutHosts := singleHostFleet(50, 10)
	withoutHosts.Hosts = nil
	a := Solve(withoutHosts, testLimit)
	assert.False(t, a.Feasible)
	assert.Equal(t, 10.0, a.ShedWorth)

	idle := Solve(singleHostFleet(50), testLimit)
	assert.True(t, idle.Feasible)

	draining := Solve(singleHostFleet(0, 10, 10), testLimit)
	assert.False(t, draining.Feasible)
	assert.InDelta(t, 0, draining.Total, 1e-9, "nothing is placed on a host where it only costs")

	for _, scale := range []float64{1e-9, 1e9} { // the size of the numbers must not matter
		f := singleHostFleet(100*scale, 20*scale, 30*scale)
		f.Prices.PerHostOverhead = 3 * scale
		a := Solve(f, testLimit)
		assert.Equal(t, Exact, a.Method)
		assert.True(t, a.Feasible)
		assert.InDelta(t, 50*scale, a.ServedWorth, 1e-9*scale)
	}

	large := singleHostFleet(50, 200) // a flight that is larger than any host is cut
	for i := range 9 {
		large.Hosts = append(large.Hosts, Host{ID: fmt.Sprintf("h%d", i), Room: "a", Capacity: 50})
	}
	a = Solve(large, testLimit)
	assert.True(t, a.Feasible)
	assert.GreaterOrEqual(t, a.FlightHostPairs, 5)
}
