package placement

import (
	"slices"

	"tealtiller/internal/cells"
)

// fallback is the best of three placements that need no search: the plan in force repaired, what fits in its room with
// the rest in others, and all hosts alike.
func (s *search) fallback() (Method, []int32) {
	best, method := s.equal(), Equal
	total := s.value(best).Total
	try := func(way Method, at []int32) {
		if v := s.value(at).Total; v >= total {
			best, method, total = at, way, v
		}
	}
	free := make([]float64, len(s.rooms))
	try(Overflow, s.greedy(free, false, false))
	if slices.ContainsFunc(s.pieces, func(c piece) bool { return c.was != none }) {
		try(Repaired, s.greedy(free, false, true))
	}
	return method, best
}

// equal assigns flights by their keys alone.
func (s *search) equal() []int32 {
	at := make([]int32, len(s.pieces))
	for n := range s.flight {
		best := none
		if len(s.hosts) > 0 {
			best = int(cells.SplitMix64(s.fleet.Flights[s.flights[n]].ID) % uint64(len(s.hosts)))
		}
		for i := s.from[n]; i < s.from[n+1]; i++ {
			at[i] = int32(best)
		}
	}
	return at
}
