package lab

import (
	"cmp"
	"math"
	"slices"
)

// exactSearch is a branch-and-bound search, flight by flight, that tries the assignment with the highest bound first.
type exactSearch struct {
	*partialPlacement
	best          float64
	nodeBudget    int            // nodes that may still be visited
	prices        [][]float64    // per load, by host; the same for all hosts of a room
	remainingGain [][]float64    // by price pair: the highest gain beyond the prices of the flights from a given one on
	assignments   [][]assignment // by flight
}

// assignment is the host of each part of a flight.
type assignment []int

func newExactSearch(c *exactProblem, floor float64, budget int) *exactSearch {
	e := &exactSearch{partialPlacement: newPartialPlacement(c), best: floor, nodeBudget: budget}
	for _, g := range e.flights {
		e.assignments = append(e.assignments, allAssignments(len(g.loads), len(e.capacity)))
	}
	e.preparePrices()
	return e
}

// allAssignments are all assignments of a number of parts to a number of hosts.
func allAssignments(parts, hosts int) (all []assignment) {
	at := make([]int, parts)
	var place func(part int)
	place = func(part int) {
		if part == parts {
			all = append(all, slices.Clone(at))
			return
		}
		for host := unplaced; host < hosts; host++ {
			at[part] = host
			place(part + 1)
		}
	}
	place(0)
	return all
}

// bound is an upper bound of the worth of all completions of the current placement, in which the flights before the
// given one are placed. At any prices, a host gains at most the price of its capacity plus what its parts gain beyond
// the price. A full host whose marginal gain is at least the price counts with its exact worth: the highest worth that
// a host can serve is concave in its load, so more parts gain no more there than at the price.
func (e *exactSearch) bound(flight int) float64 {
	value, marginalGain := make([]float64, len(e.capacity)), make([]float64, len(e.capacity))
	for host := range value {
		value[host], marginalGain[host] = e.fill(host, e.parts[host], e.flightCount[host])
	}
	lowest := math.Inf(1)
	for i, prices := range e.prices {
		total := e.remainingGain[i][flight]
		for host, price := range prices {
			if marginalGain[host] > 0 && marginalGain[host] >= price {
				total += value[host]
				continue
			}
			total += price*(e.capacity[host]-float64(e.flightCount[host])*e.overhead[host]) - float64(e.flightCount[host])*e.overheadCost[host]
			for _, part := range e.parts[host] {
				if surplus := part.gain - price*part.load; surplus > 0 {
					total += surplus
				}
			}
		}
		if lowest = math.Min(lowest, total); lowest <= e.best {
			break
		}
	}
	return lowest
}

// exactNode is an assignment of the next flight, with the upper bound of all placements that continue from it.
type exactNode struct {
	at    assignment
	bound float64
}

// visit places the flights from the given one on.
func (e *exactSearch) visit(flight int) {
	if e.nodeBudget--; e.nodeBudget <= 0 {
		return
	}
	if flight == len(e.flights) {
		e.best = math.Max(e.best, e.total())
		return
	}
	for _, node := range e.branches(flight) {
		if !e.canImprove(node.bound) {
			return
		}
		e.set(flight, node.at)
		e.visit(flight + 1)
		e.unset(node.at)
	}
}

// branches are the assignments of a flight that may improve on the best placement, those with the highest bounds first.
func (e *exactSearch) branches(flight int) (nodes []exactNode) {
	for _, at := range e.assignments[flight] {
		if e.isSymmetricDuplicate(at) {
			continue
		}
		e.set(flight, at)
		if bound := e.bound(flight + 1); e.canImprove(bound) {
			nodes = append(nodes, exactNode{at, bound})
		}
		e.unset(at)
	}
	slices.SortStableFunc(nodes, func(a, b exactNode) int { return cmp.Compare(b.bound, a.bound) })
	return nodes
}

// canImprove reports whether a bound is above the best worth by more than rounding errors.
func (e *exactSearch) canImprove(bound float64) bool {
	return bound > e.best+roundingTolerance*math.Abs(e.best)
}

// isSymmetricDuplicate reports whether an assignment uses an empty host while an interchangeable host before it is
// empty.
func (e *exactSearch) isSymmetricDuplicate(at []int) bool {
	for part, host := range at {
		if host == unplaced || e.flightCount[host] > 0 || e.inCurrentPlan[host] {
			continue
		}
		for other := range host {
			if e.flightCount[other] == 0 && e.interchangeable(other, host) && !slices.Contains(at[:part], other) {
				return true
			}
		}
	}
	return false
}

// interchangeable reports whether two hosts may be swapped in any placement.
func (e *exactSearch) interchangeable(other, host int) bool {
	return !e.inCurrentPlan[other] && e.room[other] == e.room[host] && e.capacity[other] == e.capacity[host] && e.overhead[other] == e.overhead[host]
}
