package placement

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The same cases at each run; -rapid.seed=0 looks for others.
func init() { _ = flag.Set("rapid.seed", "1") }

var steps = SearchLimit{MaxSteps: 20_000, Seed: 1}

func fleets(t *rapid.T) *Fleet {
	f := &Fleet{Prices: DefaultPrices()}
	rooms := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "rooms")]
	figure := rapid.Float64Range(0, 60)
	for i := range rapid.IntRange(1, 6).Draw(t, "hosts") {
		f.Hosts = append(f.Hosts, Host{ID: fmt.Sprintf("h%d", i), Room: rapid.SampledFrom(rooms).Draw(t, "room"), Capacity: figure.Draw(t, "capacity")})
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "flights") {
		fl := Flight{ID: uint64(i + 1)}
		for _, r := range rooms {
			if rapid.Bool().Draw(t, "there") {
				load := figure.Draw(t, "load")
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

// What a host can do more is never of harm: to no optimum, and to no bound. The optimum is known where the solver
// called it so.
func TestMoreCapacityIsNeverWorthLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleets(t)
		before := Solve(f, steps)
		more := *f
		more.Hosts = slices.Clone(f.Hosts)
		more.Hosts[rapid.IntRange(0, len(f.Hosts)-1).Draw(t, "host")].Capacity += rapid.Float64Range(0, 40).Draw(t, "more")
		after := Solve(&more, steps)
		scale := 1e-6 * max(1, math.Abs(before.Total))
		assert.GreaterOrEqual(t, after.Bound, before.Total-scale)
		if after.Method == Exact {
			assert.GreaterOrEqual(t, after.Total, before.Total-scale)
		}
	})
}

// Names tell hosts and rooms apart and nothing more; the order in which things are told tells nothing.
func TestNamesAndOrderChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleets(t)
		g := *f
		g.Hosts, g.Flights = slices.Clone(f.Hosts), slices.Clone(f.Flights)
		for i := range g.Hosts {
			g.Hosts[i].ID, g.Hosts[i].Room = "x"+g.Hosts[i].ID, "x"+g.Hosts[i].Room
		}
		for i := range g.Flights {
			g.Flights[i].Parts = slices.Clone(g.Flights[i].Parts)
			for j := range g.Flights[i].Parts {
				g.Flights[i].Parts[j].Room = "x" + g.Flights[i].Parts[j].Room
			}
			if g.Flights[i].CurrentHost != "" {
				g.Flights[i].CurrentHost = "x" + g.Flights[i].CurrentHost
			}
		}
		slices.Reverse(g.Hosts)
		slices.Reverse(g.Flights)
		a, b := Solve(f, steps), Solve(&g, steps)
		assert.Equal(t, a.Value, b.Value)
		assert.InDelta(t, a.Bound, b.Bound, 1e-9*max(1, a.Bound))
	})
}

// Without any time there is an answer all the same, never worse than all hosts alike, and its bound holds for what the
// search finds.
func TestWithoutTimeThereIsAnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleets(t)
		quick := Solve(f, SearchLimit{Stop: func() bool { return true }})
		s := &search{problem: compile(f)}
		assert.GreaterOrEqual(t, quick.Total, s.value(s.equal()).Total-1e-9)
		assert.GreaterOrEqual(t, quick.Bound, Solve(f, steps).Total-1e-6)
	})
}

// What is called feasible is: no host over what it serves, nothing left out. What is shed is told.
func TestFeasibleIsFeasible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleets(t)
		a := Solve(f, steps)
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

func one(capacity float64, loads ...float64) *Fleet {
	f := &Fleet{Prices: DefaultPrices(), Hosts: []Host{{ID: "h", Room: "a", Capacity: capacity}}}
	for i, l := range loads {
		f.Flights = append(f.Flights, Flight{ID: uint64(i), Parts: []Part{{"a", l, l}}})
	}
	return f
}

func TestHardCases(t *testing.T) {
	nothing := Solve(&Fleet{Prices: DefaultPrices()}, steps)
	assert.True(t, nothing.Feasible)
	assert.Zero(t, nothing.Total)

	none := one(50, 10)
	none.Hosts = nil
	a := Solve(none, steps)
	assert.False(t, a.Feasible)
	assert.Equal(t, 10.0, a.ShedWorth)

	idle := Solve(one(50), steps)
	assert.True(t, idle.Feasible)

	draining := Solve(one(0, 10, 10), steps)
	assert.False(t, draining.Feasible)
	assert.InDelta(t, 0, draining.Total, 1e-9, "nothing is placed where it only costs")

	for _, scale := range []float64{1e-9, 1e9} { // figures of any size
		f := one(100*scale, 20*scale, 30*scale)
		f.Prices.PerHostOverhead = 3 * scale
		a := Solve(f, steps)
		assert.Equal(t, Exact, a.Method)
		assert.True(t, a.Feasible)
		assert.InDelta(t, 50*scale, a.ServedWorth, 1e-9*scale)
	}

	large := one(50, 200) // a flight larger than any host is cut
	for i := range 9 {
		large.Hosts = append(large.Hosts, Host{ID: fmt.Sprintf("h%d", i), Room: "a", Capacity: 50})
	}
	a = Solve(large, steps)
	assert.True(t, a.Feasible)
	assert.GreaterOrEqual(t, a.FlightHostPairs, 5)
}

// One room with more traffic than its own hosts carry sends on what does not fit, and no more.
func TestARoomTooSmallSendsOnTheRest(t *testing.T) {
	f := &Fleet{Prices: DefaultPrices()}
	for i := range 4 {
		f.Hosts = append(f.Hosts, Host{ID: fmt.Sprint(i), Room: []string{"a", "b"}[i%2], Capacity: 50})
	}
	for i := range 12 {
		f.Flights = append(f.Flights, Flight{ID: uint64(i), Parts: []Part{{"a", 8, 8}}})
	}
	a := Solve(f, steps)
	require.True(t, a.Feasible)
	assert.InDelta(t, 32, a.CrossedWorth, 1e-9, "each host takes four flights of 8 and their 3, of its 45")
	flow := Shares(f)
	assert.Equal(t, "programme", flow.By)
	assert.InDelta(t, 90, flow.Load[0][0], 1e-6)
	assert.InDelta(t, 78, flow.Load[0][1], 1e-6, "twelve flights of 8 and a pair's 6, but for the 90 that a serves")
	p := NewPlan(f, a, day, 0, 0)
	w := p.RoomWeights["a"]
	assert.InDelta(t, 90.0/78, w["0"]/w["1"], 1e-6)
	assert.Greater(t, p.RoomWeights["b"]["0"], 0.0, "nothing arrives in b: its balancers have weights all the same")
}

// Programmes with many equal best answers, and with nothing left to choose, are solved or told.
func TestDegenerateProgrammes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "rooms")
		rooms, serve, demand := []string{}, []float64{}, []Demand{}
		size := rapid.SampledFrom([]float64{0, 1, 1, 1, 2, 1e-9, 1e9})
		for i := range n {
			rooms = append(rooms, fmt.Sprint(i))
			serve = append(serve, size.Draw(t, "serves"))
			for range rapid.IntRange(0, 3).Draw(t, "levels") {
				demand = append(demand, Demand{fmt.Sprint(i), rapid.SampledFrom([]float64{0, 1, 1, 2}).Draw(t, "worth"), size.Draw(t, "load")})
			}
		}
		f, s := flows(rooms, serve, demand, 0.1), spill(rooms, serve, demand, 0.1)
		got, asked := square(n), make([]float64, n)
		for _, d := range demand {
			asked[slices.Index(rooms, d.Room)] += d.Load
		}
		for to := range rooms {
			in := 0.0
			for from := range rooms {
				got[from][to] = f.Load[from][to]
				in += f.Load[from][to]
				assert.GreaterOrEqual(t, f.Load[from][to], 0.0)
			}
			assert.LessOrEqual(t, in, serve[to]*(1+1e-9)+1e-18)
		}
		for from := range rooms {
			assert.LessOrEqual(t, sum(got[from]), asked[from]*(1+1e-9)+1e-18)
		}
		scale := 0.0
		for _, d := range demand {
			scale += d.Load * d.Worth
		}
		assert.GreaterOrEqual(t, f.Value, s.Value-1e-6*scale, "the programme is worth no less than the overflow")
	})
}

// At any prices the bound of a placement that is whole is no less than what it is worth: what branch and bound takes off
// for places chosen and for full hosts is never too much. A host whose flights alone are over what it serves only loses,
// and is left out.
func TestTheBoundHoldsForEveryPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleets(t)
		s := &search{problem: compile(f)}
		d := &dual{problem: s.problem, price: make([]float64, len(s.rooms))}
		for r := range d.price {
			d.price[r] = rapid.Float64Range(0, 2).Draw(t, "price")
		}
		b := s.brancher(d)
		bound := d.most(nil)
		for n := range s.flight {
			if len(b.options[n]) == 0 {
				t.Skip("too many places to list")
			}
			o := rapid.SampledFrom(b.options[n]).Draw(t, "place")
			bound -= o.loss
			for c, h := range o.at {
				if h != none {
					b.st.shift(change{int32(s.from[n] + c), none, h})
				}
			}
		}
		for h := range s.hosts {
			if _, det := b.st.host(h, b.st.items[h]); float64(det.pieces)*s.over[h] > s.serves[h] {
				t.Skip("a host that serves nothing")
			}
			bound -= b.settle(h)
		}
		total := sum(b.st.worths)
		assert.GreaterOrEqual(t, bound, total-1e-6*max(1, math.Abs(total)))
	})
}
