package placement

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Method is how an answer was found, the best first.
type Method string

// The methods.
const (
	Exact    Method = "exact"    // no placement is worth more
	Search   Method = "search"   // the best that the search met before its end
	Repaired Method = "repaired" // the plan in force, what it no longer has a host for placed anew
	Overflow Method = "overflow" // as much as fits in its room, the rest where there is room
	Equal    Method = "equal"    // each flight by its key, all hosts alike
)

// SearchLimit bounds a search. Steps count placements that were evaluated and are the same on every machine; Stop, asked now
// and then, ends it early.
type SearchLimit struct {
	MaxSteps int                                   // 0: none
	Stop     func() bool                           // nil: never
	Progress func(worth, bound float64, steps int) // told now and then, if set
	Seed     uint64
}

const (
	seedStream    = 11  // of the random numbers: one stream for each use of a seed
	askEvery      = 200 // steps between two questions whether to stop
	manyPieces    = 2000
	boundRounds   = 60   // in which the prices of the bound are sought,
	fewerRounds   = 40   // and with many pieces
	mostExact     = 64   // pieces that are placed by branch and bound
	optimalWithin = 1e-9 // share of the bound by which rounding may keep an optimal answer under it
)

// Solve places a fleet's flights. The fleet must have passed Check.
func Solve(f *Fleet, limit SearchLimit) *Solution {
	s := &search{problem: compile(f), limit: limit, rng: rand.New(rand.NewPCG(limit.Seed, seedStream))}
	method := s.start()
	if !s.ended() {
		method = s.refine(method)
	}
	if s.bound-s.total <= optimalWithin*max(math.Abs(s.bound), s.worth) {
		method = Exact
	}
	return s.answer(method)
}

// CurrentPlacement is the fleet as it is: flights on the hosts that the plan in force has them on, the rest by their keys.
func CurrentPlacement(f *Fleet) *Solution {
	s := &search{problem: compile(f)}
	s.best = s.equal()
	for i := range s.pieces {
		if was := s.pieces[i].was; was != none {
			s.best[i] = int32(was)
		}
	}
	s.total = s.value(s.best).Total
	return s.answer(Equal)
}

// search holds the best placement so far.
type search struct {
	*problem
	limit   SearchLimit
	rng     *rand.Rand
	best    []int32
	total   float64
	bound   float64
	prices  []float64 // of the bound
	steps   int
	asked   int
	stopped bool
}

// start takes the best placement that needs no search, and the bound at no prices.
func (s *search) start() Method {
	method, best := s.fallback()
	s.best, s.total = best, s.value(best).Total
	free := &dual{problem: s.problem, price: make([]float64, len(s.rooms))}
	s.bound, s.prices = free.most(nil), free.price
	return method
}

// refine looks for better placements: from the prices of the bound, by local search and, where pieces are few, by
// branch and bound.
func (s *search) refine(method Method) Method {
	rounds := boundRounds
	if len(s.pieces) > manyPieces {
		rounds = fewerRounds
	}
	d := s.descend(rounds)
	for _, tight := range []bool{false, true} {
		if !s.ended() && s.offer(s.greedy(d.price, tight, false)) {
			method = Search
		}
	}
	if s.improve() {
		method = Search
	}
	if len(s.pieces) <= mostExact && !s.ended() && s.branch(d) {
		method = Exact
	}
	return method
}

// ended tells that the search is to end.
func (s *search) ended() bool {
	if s.stopped || s.limit.MaxSteps > 0 && s.steps >= s.limit.MaxSteps {
		return true
	}
	if s.steps >= s.asked {
		s.asked = s.steps + askEvery
		s.stopped = s.limit.Stop != nil && s.limit.Stop()
		if s.limit.Progress != nil {
			s.limit.Progress(s.total, s.bound, s.steps)
		}
	}
	return s.stopped
}

// offer takes a placement if it is worth more.
func (s *search) offer(at []int32) bool {
	if v := s.value(at).Total; v > s.total+tolerance*max(s.worth, 0) {
		s.best, s.total = slices.Clone(at), v
		return true
	}
	return false
}
