package placement

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Demand is load that arrives in a room and has the same worth per load.
type Demand struct {
	Room        string
	Worth, Load float64 // worth per load, and the load
}

// Flow is how much of the load that arrives in each room is served in each room.
type Flow struct {
	Rooms    []string
	Load     [][]float64 // by room of arrival and room of service
	Value    float64
	SolvedBy string // "programme" or "overflow"
}

var errNoSolution = errors.New("linear programme has no solution")

// maxProgrammeRooms is the number of rooms up to which the linear programme is used: the size of its table grows with
// the cube of their number.
const maxProgrammeRooms = 8

// solveFlow distributes demand over rooms with the given usable capacities. It solves a linear programme. Where that
// fails, or the values differ too much in size for its arithmetic, as much as fits is served in its own room and the
// rest where there is capacity, the highest worth first.
func solveFlow(rooms []string, usable []float64, demand []Demand, crossing float64) Flow {
	demand = slices.Clone(demand)
	slices.SortFunc(demand, func(a, b Demand) int { return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.Room, b.Room)) })
	overflow := overflowFlow(rooms, usable, demand, crossing)
	if len(rooms) <= maxProgrammeRooms {
		if f, err := linearProgramme(rooms, usable, demand, crossing); err == nil &&
			f.Value >= overflow.Value-tolerance*math.Abs(overflow.Value) {
			return f
		}
	}
	return overflow
}

// linearProgramme solves for the load of each demand that is served in each room, limited by the demand and by the
// usable capacity of the room. All values are scaled by the total demand, so that the numbers do not depend on the size
// of the fleet.
func linearProgramme(rooms []string, usable []float64, demand []Demand, crossing float64) (f Flow, err error) {
	defer func() { // the library panics on some singular matrices
		if recover() != nil {
			err = errNoSolution
		}
	}()
	scale, worth := 0.0, 0.0
	for _, d := range demand {
		scale, worth = scale+d.Load, max(worth, d.Worth)
	}
	if scale <= 0 || worth <= 0 || len(rooms) == 0 {
		return f, errNoSolution
	}
	n, r := len(demand), len(rooms)
	columns, rows := n*r+n+r, n+r
	c, a, b, basis := make([]float64, columns), mat.NewDense(rows, columns, nil), make([]float64, rows), make([]int, rows)
	for i, d := range demand {
		for s, room := range rooms {
			gain := d.Worth / worth
			if room != d.Room {
				gain -= crossing * d.Worth / worth
			}
			c[i*r+s] = -gain
			a.Set(i, i*r+s, 1)
			a.Set(n+s, i*r+s, 1)
		}
		b[i] = d.Load / scale
	}
	for s := range rooms {
		b[n+s] = min(usable[s]/scale, 2) // a capacity above the total demand is no constraint
	}
	for k := range rows { // the slack variables are the initial basis
		a.Set(k, n*r+k, 1)
		basis[k] = n*r + k
	}
	_, x, err := lp.Simplex(c, a, b, 1e-10, basis)
	if err != nil {
		return f, err
	}
	f = Flow{Rooms: rooms, Load: squareMatrix(r), SolvedBy: "programme"}
	free := slices.Clone(usable)
	for i, d := range demand {
		from, unserved := slices.Index(rooms, d.Room), d.Load
		for s := range rooms {
			load := x[i*r+s] * scale
			if load < -1e-6*scale || math.IsNaN(load) {
				return Flow{}, errNoSolution
			}
			// Rounding may exceed the limits: cut the excess, so that the result is feasible.
			load = max(min(load, unserved, free[s]), 0)
			unserved, free[s] = unserved-load, free[s]-load
			f.add(from, s, load, d, crossing)
		}
	}
	return f, nil
}

func (f *Flow) add(from, to int, load float64, d Demand, crossing float64) {
	f.Load[from][to] += load
	f.Value += load * d.Worth
	if from != to {
		f.Value -= load * d.Worth * crossing
	}
}

// overflowFlow serves as much of each demand in its own room as fits there, and distributes the rest over the free
// capacity of all rooms.
func overflowFlow(rooms []string, usable []float64, demand []Demand, crossing float64) Flow {
	f, free := Flow{Rooms: rooms, Load: squareMatrix(len(rooms)), SolvedBy: "overflow"}, slices.Clone(usable)
	unserved := make([]float64, len(demand))
	for i, d := range demand {
		r := slices.Index(rooms, d.Room)
		load := min(d.Load, free[r])
		free[r] -= load
		unserved[i] = d.Load - load
		f.add(r, r, load, d, crossing)
	}
	for i, d := range demand {
		totalFree := sum(free)
		if unserved[i] <= 0 || totalFree <= 0 {
			continue
		}
		share := min(unserved[i]/totalFree, 1)
		for s := range free {
			load := free[s] * share
			free[s] -= load
			f.add(slices.Index(rooms, d.Room), s, load, d, crossing)
		}
	}
	return f
}

func squareMatrix(n int) [][]float64 {
	out := make([][]float64, n)
	for i := range out {
		out[i] = make([]float64, n)
	}
	return out
}
