package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A room with more traffic than its own hosts can serve sends only the excess to another room.
func TestOverfullRoomSendsOnOnlyTheExcess(t *testing.T) {
	f := &Fleet{Prices: DefaultPrices()}
	for i := range 4 {
		f.Hosts = append(f.Hosts, Host{ID: fmt.Sprint(i), Room: []string{"a", "b"}[i%2], Capacity: 50})
	}
	for i := range 12 {
		f.Flights = append(f.Flights, Flight{ID: uint64(i), Parts: []Part{{"a", 8, 8}}})
	}
	a := Solve(f, testLimit)
	require.True(t, a.Feasible)
	assert.InDelta(t, 32, a.CrossedWorth, 1e-9, "each host takes four flights of 8 with an overhead of 3, out of its 45")
	flow := RoomFlow(f)
	assert.Equal(t, "programme", flow.SolvedBy)
	assert.InDelta(t, 90, flow.Load[0][0], 1e-6)
	assert.InDelta(t, 78, flow.Load[0][1], 1e-6, "twelve flights of 8, with the overhead of 6 on two hosts, less the 90 that room a serves")
	p := NewPlan(f, a, created, 0, 0)
	w := p.RoomWeights["a"]
	assert.InDelta(t, 90.0/78, w["0"]/w["1"], 1e-6)
	assert.Greater(t, p.RoomWeights["b"]["0"], 0.0, "nothing arrives in b, but its balancers have weights")
}

// Linear programmes with many optimal solutions, or without any freedom of choice, must give a feasible flow that is
// worth no less than the overflow heuristic.
func TestDegenerateLinearProgrammes(t *testing.T) {
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
		f, s := solveFlow(rooms, serve, demand, 0.1), overflowFlow(rooms, serve, demand, 0.1)
		got, asked := squareMatrix(n), make([]float64, n)
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
		assert.GreaterOrEqual(t, f.Value, s.Value-1e-6*scale, "the linear programme is worth no less than the overflow")
	})
}
