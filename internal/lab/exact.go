package lab

import (
	"math"
	"slices"

	"tealtiller/internal/placement"
)

// The files exact*.go are an independent reference for the placement solver: they compute the worth of the best placement
// of a small fleet. They share no code with the solver: the objective is written anew from its definition, and so is the
// search. EnumerateBest visits every placement; SearchBest leaves out those that its own bound excludes and those that
// differ only by interchangeable hosts. A part of a flight is placed on one host, so no part may be larger than eight
// times a host's overhead for a flight: the solver splits larger parts.

// EnumerateBest returns the worth of the best placement, found by enumerating all placements.
func EnumerateBest(f *placement.Fleet) float64 {
	e := enumeration{partialPlacement: newPartialPlacement(newExactProblem(f)), best: math.Inf(-1)}
	e.visit(0)
	return e.best
}

// enumeration visits every placement, without any bound.
type enumeration struct {
	*partialPlacement
	best float64
}

// visit places the flights from the given one on.
func (e *enumeration) visit(flight int) {
	if flight == len(e.flights) {
		e.best = math.Max(e.best, e.total())
		return
	}
	at := make([]int, len(e.flights[flight].loads))
	e.place(flight, 0, at)
}

// place places the parts of a flight from the given one on, then the flights after it.
func (e *enumeration) place(flight, part int, at []int) {
	if part == len(at) {
		e.visit(flight + 1)
		return
	}
	at[part] = unplaced
	e.place(flight, part+1, at)
	for host := range e.capacity {
		first := !slices.Contains(at[:part], host)
		at[part] = host
		e.add(flight, part, host, first)
		e.place(flight, part+1, at)
		e.remove(host, first)
	}
	at[part] = unplaced
}

// knapsackBoundRounds is how many times the knapsack bound adjusts its prices.
const knapsackBoundRounds = 250

// SearchBest returns the worth of the best placement of a fleet of at most two rooms. Floor is a known lower bound of
// this worth. Proved reports that the search ended within its budget of nodes; if it did not, worth is that of the best
// placement found, and upperBound is an upper bound for all placements.
func SearchBest(f *placement.Fleet, floor float64, budget int) (worth, upperBound float64, proved bool) {
	e := newExactSearch(newExactProblem(f), floor, budget)
	priceBound := e.bound(0)
	e.visit(0)
	if e.nodeBudget <= 0 {
		knapsackBound := e.knapsackBound(e.best, e.prices[0], knapsackBoundRounds)
		return e.best, math.Max(math.Min(priceBound, knapsackBound), e.best), false
	}
	return e.best, e.best, true
}
