package placement

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Method is the way in which a solution was found.
type Method string

// The methods, the best first.
const (
	Exact    Method = "exact"    // proved optimal
	Search   Method = "search"   // the best placement that the search found before its end
	Repaired Method = "repaired" // the plan in force, with the flights placed again whose host is gone
	Overflow Method = "overflow" // as much as fits in its own room, the rest where there is capacity
	Equal    Method = "equal"    // each flight on a host chosen by its key, all hosts equal
)

// SearchLimit bounds a search. Steps count evaluated placements, and are the same on every machine. Stop is called
// regularly, and ends the search early when it returns true.
type SearchLimit struct {
	MaxSteps int                                   // 0: no limit
	Stop     func() bool                           // nil: never stops early
	Progress func(worth, bound float64, steps int) // called regularly, if set
	Seed     uint64
}

const (
	seedStream              = 11   // stream of the random numbers, which keeps them apart from other uses of the same seed
	stopCheckInterval       = 200  // steps between two calls of Stop and Progress
	largeProblemPieces      = 2000 // with more pieces: fewer rounds for the bound, no perturbations
	boundRounds             = 60   // rounds of the search for the dual prices
	largeProblemBoundRounds = 40   // the same with more than largeProblemPieces
	maxExactPieces          = 64   // number of pieces up to which branch and bound is used
	optimalityTolerance     = 1e-9 // share of the bound by which rounding may leave an optimal solution below it
)

// Solve places the flights of a fleet. The fleet must have passed Check.
func Solve(f *Fleet, limit SearchLimit) *Solution {
	s := &search{problem: newProblem(f), limit: limit, rng: rand.New(rand.NewPCG(limit.Seed, seedStream))}
	method := s.initialise()
	if !s.finished() {
		method = s.refine(method)
	}
	if s.bound-s.bestValue <= optimalityTolerance*max(math.Abs(s.bound), s.totalWorth) {
		method = Exact
	}
	return s.solution(method)
}

// CurrentPlacement is the placement in use: flights on the hosts that the plan in force names, the others on hosts
// chosen by their keys.
func CurrentPlacement(f *Fleet) *Solution {
	s := &search{problem: newProblem(f)}
	s.best = s.hashPlacement()
	for i := range s.pieces {
		if current := s.pieces[i].current; current != none {
			s.best[i] = int32(current)
		}
	}
	s.bestValue = s.valueOf(s.best).Total
	return s.solution(Equal)
}

// search is the state of a search, with the best placement so far.
type search struct {
	*problem
	limit         SearchLimit
	rng           *rand.Rand
	best          []int32
	bestValue     float64
	bound         float64
	dualPrices    []float64 // prices per load and room that give the bound
	steps         int
	nextStopCheck int
	stopped       bool
}

// initialise takes the best placement that needs no search, and the bound at prices of zero.
func (s *search) initialise() Method {
	method, best := s.fallback()
	s.best, s.bestValue = best, s.valueOf(best).Total
	zeroPrices := &dual{problem: s.problem, price: make([]float64, len(s.rooms))}
	s.bound, s.dualPrices = zeroPrices.bound(nil), zeroPrices.price
	return method
}

// refine looks for better placements: greedily at the dual prices, by local search and, where pieces are few, by branch
// and bound.
func (s *search) refine(method Method) Method {
	rounds := boundRounds
	if len(s.pieces) > largeProblemPieces {
		rounds = largeProblemBoundRounds
	}
	d := s.subgradientDescent(rounds)
	for _, bestFit := range []bool{false, true} {
		if !s.finished() && s.acceptIfBetter(s.greedy(d.price, bestFit, false)) {
			method = Search
		}
	}
	if s.improve() {
		method = Search
	}
	if len(s.pieces) <= maxExactPieces && !s.finished() && s.branchAndBound(d) {
		method = Exact
	}
	return method
}

// finished reports whether a limit has ended the search.
func (s *search) finished() bool {
	if s.stopped || s.limit.MaxSteps > 0 && s.steps >= s.limit.MaxSteps {
		return true
	}
	if s.steps >= s.nextStopCheck {
		s.nextStopCheck = s.steps + stopCheckInterval
		s.stopped = s.limit.Stop != nil && s.limit.Stop()
		if s.limit.Progress != nil {
			s.limit.Progress(s.bestValue, s.bound, s.steps)
		}
	}
	return s.stopped
}

// acceptIfBetter takes a placement as the best if its value is higher.
func (s *search) acceptIfBetter(hostOf []int32) bool {
	if v := s.valueOf(hostOf).Total; v > s.bestValue+tolerance*max(s.totalWorth, 0) {
		s.best, s.bestValue = slices.Clone(hostOf), v
		return true
	}
	return false
}
