package placement

import (
	"math"
	"slices"
)

// What the local search goes by.
const (
	fewAll          = 24   // up to so many hosts all are tried
	mostExchanged   = 200  // up to so many flights pairs are swapped
	perturbations   = 200  // of the best placement, each followed by a climb
	leastFlights    = 2    // that a perturbation moves by chance,
	furtherFlights  = 3    // and up to one less than so many more
	drawsToSettle   = 4    // rounds without a gain that end a climb where candidates are drawn
	drawnHosts      = 3    // candidates by chance,
	drawnInRoom     = 15   // and in each room the roomiest of one and so many more
	gainWorthARound = 1e-6 // share of all worth that keeps a climb going where candidates are drawn
)

// improve moves flights, parts of them, and pairs, as long as that brings something; then perturbs a part and tries
// again, as long as the limit allows and the bound leaves anything to win.
func (s *search) improve() (better bool) {
	if len(s.pieces) == 0 || len(s.hosts) == 0 {
		return false
	}
	st := s.state(s.best)
	s.climb(st)
	better = s.offer(st.at)
	if len(s.pieces) > manyPieces {
		return better // one climb takes all the time there is
	}
	for range perturbations {
		if s.ended() || s.limit.MaxSteps > 0 && s.steps > s.limit.MaxSteps*3/4 || s.bound-s.total <= tolerance*math.Abs(s.bound) {
			break
		}
		st := s.state(s.perturbed())
		s.climb(st)
		better = s.offer(st.at) || better
	}
	return better
}

// perturbed is the best placement with a few flights brought to hosts by chance.
func (s *search) perturbed() []int32 {
	st := s.state(s.best)
	for range leastFlights + s.rng.IntN(furtherFlights) {
		n := s.rng.IntN(len(s.flight))
		for _, c := range slices.Clone(st.flightTo(n, int32(s.rng.IntN(len(s.hosts))))) {
			st.shift(c)
		}
	}
	return st.at
}

// climb makes changes that bring something until none is found.
func (s *search) climb(st *state) {
	patience := 1
	if len(s.hosts) > fewAll {
		patience = drawsToSettle // candidates are drawn anew each time
	}
	for idle := 0; idle < patience; {
		before, moved := st.total, false
		for n := range s.flight {
			if s.ended() {
				return
			}
			moved = s.relocate(st, n) || moved
		}
		if len(s.flight) <= mostExchanged {
			moved = s.exchange(st) || moved
		}
		if idle++; moved && (len(s.hosts) <= fewAll || st.total > before+gainWorthARound*s.worth) {
			idle = 0
		}
	}
}

// candidates are the hosts that a flight is tried on: all, where they are few, else some by chance, and in each room
// the roomiest of some.
func (s *search) candidates(st *state, yield func(int32)) {
	if len(s.hosts) <= fewAll {
		for h := range s.hosts {
			yield(int32(h))
		}
		return
	}
	for range drawnHosts {
		yield(int32(s.rng.IntN(len(s.hosts))))
	}
	for _, hosts := range s.byRoom {
		if len(hosts) == 0 {
			continue
		}
		best := hosts[s.rng.IntN(len(hosts))]
		for range drawnInRoom {
			if h := hosts[s.rng.IntN(len(hosts))]; st.free[h] > st.free[best] {
				best = h
			}
		}
		yield(int32(best))
	}
}

// relocate tries a flight, and each piece of one with several, on other hosts.
func (s *search) relocate(st *state, n int) (moved bool) {
	// Large fleets: only what is not well where it is, or all moves that bring nothing take the time of those that do.
	if len(s.hosts) > fewAll && s.well(st, n) {
		return false
	}
	several := s.from[n+1]-s.from[n] > 1
	to := func(h int32) { moved = s.relocateTo(st, n, h) || moved }
	s.candidates(st, to)
	to(none)
	for i := s.from[n]; several && i < s.from[n+1]; i++ { // to the other pieces
		if h := st.at[i]; h != none {
			to(h)
		}
	}
	return moved
}

// relocateTo tries a flight on a host, then each piece of it.
func (s *search) relocateTo(st *state, n int, h int32) (moved bool) {
	s.steps++
	if c := st.flightTo(n, h); len(c) > 0 && st.try(c...) {
		moved = true
	}
	if s.from[n+1]-s.from[n] < 2 {
		return moved
	}
	for i := s.from[n]; i < s.from[n+1]; i++ {
		if st.at[i] != h {
			s.steps++
			moved = st.try(change{int32(i), st.at[i], h}) || moved
		}
	}
	return moved
}

// well tells that a flight is in one place, in the room of all its clients, on a host that is not full.
func (s *search) well(st *state, n int) bool {
	h := st.at[s.from[n]:s.from[n+1]]
	for i := range h {
		if h[i] == none || h[i] != h[0] || s.room[h[i]] != s.pieces[s.from[n]+i].room {
			return false
		}
	}
	if len(h) == 0 {
		return true
	}
	return st.free[h[0]] >= -tolerance*s.serves[h[0]]
}

// exchange swaps two pieces, or two flights, that are on different hosts.
func (s *search) exchange(st *state) (moved bool) {
	moved = s.exchangePieces(st)
	return s.exchangeFlights(st) || moved
}

func (s *search) exchangePieces(st *state) (moved bool) {
	for a := range s.pieces {
		for b := a + 1; b < len(s.pieces); b++ {
			if s.ended() {
				return moved
			}
			if st.at[a] == st.at[b] {
				continue
			}
			s.steps++
			moved = st.try(change{int32(a), st.at[a], st.at[b]}, change{int32(b), st.at[b], st.at[a]}) || moved
		}
	}
	return moved
}

func (s *search) exchangeFlights(st *state) (moved bool) {
	for a := range s.flight {
		for b := a + 1; b < len(s.flight); b++ {
			sizeA, sizeB := s.from[a+1]-s.from[a], s.from[b+1]-s.from[b]
			if sizeA < 2 && sizeB < 2 || sizeA == 0 || sizeB == 0 {
				continue // single pieces were swapped before
			}
			x, y := st.at[s.from[a]], st.at[s.from[b]]
			if x == y {
				continue
			}
			if s.ended() {
				return moved
			}
			s.steps++
			swap := slices.Clone(st.flightTo(a, y))
			swap = append(swap, st.flightTo(b, x)...)
			moved = st.try(swap...) || moved
		}
	}
	return moved
}
