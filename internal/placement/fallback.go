package placement

import (
	"slices"

	"tealtiller/internal/cells"
)

// fallback is the best of three placements that need no search: the repaired plan in force, as much as fits in its own
// room with the rest elsewhere, and hosts chosen by key.
func (s *search) fallback() (Method, []int32) {
	best, method := s.hashPlacement(), Equal
	total := s.valueOf(best).Total
	consider := func(candidate Method, hostOf []int32) {
		if v := s.valueOf(hostOf).Total; v >= total {
			best, method, total = hostOf, candidate, v
		}
	}
	zeroPrices := make([]float64, len(s.rooms))
	consider(Overflow, s.greedy(zeroPrices, false, false))
	if slices.ContainsFunc(s.pieces, func(c piece) bool { return c.current != none }) {
		consider(Repaired, s.greedy(zeroPrices, false, true))
	}
	return method, best
}

// hashPlacement assigns flights to hosts by their keys alone.
func (s *search) hashPlacement() []int32 {
	hostOf := make([]int32, len(s.pieces))
	for n := range s.flightLoad {
		host := none
		if len(s.hostIndexes) > 0 {
			host = int(cells.SplitMix64(s.fleet.Flights[s.flightIndexes[n]].ID) % uint64(len(s.hostIndexes)))
		}
		for i := s.firstPiece[n]; i < s.firstPiece[n+1]; i++ {
			hostOf[i] = int32(host)
		}
	}
	return hostOf
}
