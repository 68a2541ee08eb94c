package placement

import (
	"math"
	"slices"
)

// Parameters of the local search.
const (
	maxExhaustiveHosts    = 24   // number of hosts up to which a flight is tried on all of them
	maxExchangedFlights   = 200  // number of flights up to which pairs are swapped
	perturbations         = 200  // perturbations of the best placement, each followed by hill climbing
	minPerturbedFlights   = 2    // least number of flights that a perturbation moves to random hosts
	extraPerturbedFlights = 3    // a perturbation moves fewer than this many more, drawn at random
	maxIdleRounds         = 4    // rounds without a gain after which hill climbing ends, with random candidates
	randomCandidates      = 3    // candidates drawn from all hosts
	roomSamples           = 15   // hosts drawn in each room after the first; the one with the most free load is a candidate
	minRoundGain          = 1e-6 // gain of a round, as a share of the total worth, that counts with random candidates
)

// improve moves flights, pieces and pairs as long as that raises the value. Then it perturbs the best placement and
// tries again, as long as the limits allow and the value is below the bound.
func (s *search) improve() (better bool) {
	if len(s.pieces) == 0 || len(s.hostIndexes) == 0 {
		return false
	}
	current := s.newState(s.best)
	s.hillClimb(current)
	better = s.acceptIfBetter(current.hostOf)
	if len(s.pieces) > largeProblemPieces {
		return better // on large problems, one hill climb takes all the time that is available
	}
	for range perturbations {
		if s.finished() || s.limit.MaxSteps > 0 && s.steps > s.limit.MaxSteps*3/4 ||
			s.bound-s.bestValue <= tolerance*math.Abs(s.bound) {
			break
		}
		st := s.newState(s.perturbed())
		s.hillClimb(st)
		better = s.acceptIfBetter(st.hostOf) || better
	}
	return better
}

// perturbed is the best placement with a few flights moved to random hosts.
func (s *search) perturbed() []int32 {
	current := s.newState(s.best)
	for range minPerturbedFlights + s.rng.IntN(extraPerturbedFlights) {
		n := s.rng.IntN(len(s.flightLoad))
		for _, m := range slices.Clone(current.flightMoves(n, int32(s.rng.IntN(len(s.hostIndexes))))) {
			current.move(m)
		}
	}
	return current.hostOf
}

// hillClimb makes moves that raise the value until none is found.
func (s *search) hillClimb(st *state) {
	maxIdle := 1
	if len(s.hostIndexes) > maxExhaustiveHosts {
		maxIdle = maxIdleRounds // each round draws other candidates
	}
	for idleRounds := 0; idleRounds < maxIdle; {
		before, moved := st.total, false
		for n := range s.flightLoad {
			if s.finished() {
				return
			}
			moved = s.relocate(st, n) || moved
		}
		if len(s.flightLoad) <= maxExchangedFlights {
			moved = s.exchange(st) || moved
		}
		if idleRounds++; moved && (len(s.hostIndexes) <= maxExhaustiveHosts || st.total > before+minRoundGain*s.totalWorth) {
			idleRounds = 0
		}
	}
}

// candidates yields the hosts on which a flight is tried: all of them in a small fleet. In a large one, some random
// hosts, and in each room the host with the most free load of a random sample.
func (s *search) candidates(st *state, yield func(int32)) {
	if len(s.hostIndexes) <= maxExhaustiveHosts {
		for h := range s.hostIndexes {
			yield(int32(h))
		}
		return
	}
	for range randomCandidates {
		yield(int32(s.rng.IntN(len(s.hostIndexes))))
	}
	for _, hosts := range s.hostsByRoom {
		if len(hosts) == 0 {
			continue
		}
		best := hosts[s.rng.IntN(len(hosts))]
		for range roomSamples {
			if h := hosts[s.rng.IntN(len(hosts))]; st.freeLoad[h] > st.freeLoad[best] {
				best = h
			}
		}
		yield(int32(best))
	}
}

// relocate tries a flight, and each piece of a flight with several, on other hosts.
func (s *search) relocate(st *state, n int) (moved bool) {
	// In large fleets only flights that are not well placed are tried: otherwise, moves without a gain would take up the
	// time for those with one.
	if len(s.hostIndexes) > maxExhaustiveHosts && s.wellPlaced(st, n) {
		return false
	}
	several := s.firstPiece[n+1]-s.firstPiece[n] > 1
	tryHost := func(h int32) { moved = s.relocateTo(st, n, h) || moved }
	s.candidates(st, tryHost)
	tryHost(none)
	for i := s.firstPiece[n]; several && i < s.firstPiece[n+1]; i++ { // the hosts of its own pieces, to bring them together
		if h := st.hostOf[i]; h != none {
			tryHost(h)
		}
	}
	return moved
}

// relocateTo tries a flight on a host, and then each of its pieces.
func (s *search) relocateTo(st *state, n int, h int32) (moved bool) {
	s.steps++
	if moves := st.flightMoves(n, h); len(moves) > 0 && st.tryMoves(moves...) {
		moved = true
	}
	if s.firstPiece[n+1]-s.firstPiece[n] < 2 {
		return moved
	}
	for i := s.firstPiece[n]; i < s.firstPiece[n+1]; i++ {
		if st.hostOf[i] != h {
			s.steps++
			moved = st.tryMoves(pieceMove{int32(i), st.hostOf[i], h}) || moved
		}
	}
	return moved
}

// wellPlaced reports whether a flight is on one host, which is in the room of all its clients and not full.
func (s *search) wellPlaced(st *state, n int) bool {
	hosts := st.hostOf[s.firstPiece[n]:s.firstPiece[n+1]]
	for i := range hosts {
		if hosts[i] == none || hosts[i] != hosts[0] || s.hostRoom[hosts[i]] != s.pieces[s.firstPiece[n]+i].room {
			return false
		}
	}
	if len(hosts) == 0 {
		return true
	}
	return st.freeLoad[hosts[0]] >= -tolerance*s.usable[hosts[0]]
}

// exchange swaps pairs of pieces, and pairs of flights, that are on different hosts.
func (s *search) exchange(st *state) (moved bool) {
	moved = s.exchangePieces(st)
	return s.exchangeFlights(st) || moved
}

func (s *search) exchangePieces(st *state) (moved bool) {
	for a := range s.pieces {
		for b := a + 1; b < len(s.pieces); b++ {
			if s.finished() {
				return moved
			}
			if st.hostOf[a] == st.hostOf[b] {
				continue
			}
			s.steps++
			moved = st.tryMoves(pieceMove{int32(a), st.hostOf[a], st.hostOf[b]}, pieceMove{int32(b), st.hostOf[b], st.hostOf[a]}) || moved
		}
	}
	return moved
}

func (s *search) exchangeFlights(st *state) (moved bool) {
	for a := range s.flightLoad {
		for b := a + 1; b < len(s.flightLoad); b++ {
			sizeA, sizeB := s.firstPiece[a+1]-s.firstPiece[a], s.firstPiece[b+1]-s.firstPiece[b]
			if sizeA < 2 && sizeB < 2 || sizeA == 0 || sizeB == 0 {
				continue // single pieces are swapped by exchangePieces
			}
			x, y := st.hostOf[s.firstPiece[a]], st.hostOf[s.firstPiece[b]]
			if x == y {
				continue
			}
			if s.finished() {
				return moved
			}
			s.steps++
			swap := slices.Clone(st.flightMoves(a, y))
			swap = append(swap, st.flightMoves(b, x)...)
			moved = st.tryMoves(swap...) || moved
		}
	}
	return moved
}
