package lab

import (
	"slices"

	"tealtiller/internal/placement"
)

// Relative rounding errors of load sums up to which a host does not count as overfull, and all demand counts as served.
const (
	overfillTolerance = 1e-6
	unservedTolerance = 1e-9
)

// EvaluateSolution returns the worth of a solver's solution, and whether it serves all demand within the capacity of
// every host.
func EvaluateSolution(f *placement.Fleet, a *placement.Solution) (worth float64, feasible bool) {
	s := newSolutionCheck(f)
	for _, flight := range a.Flights {
		s.addFlight(flight.ID, flight.Loads)
	}
	return s.total(), s.fits() && s.servesAll()
}

// solutionCheck evaluates a solver's solution with the reference's own objective.
type solutionCheck struct {
	*partialPlacement
	fleet  *placement.Fleet
	load   []float64          // by host
	placed map[uint64]float64 // loads, by flight
}

func newSolutionCheck(f *placement.Fleet) *solutionCheck {
	c := newExactProblem(f)
	return &solutionCheck{partialPlacement: newPartialPlacement(c), fleet: f, load: make([]float64, len(c.capacity)), placed: map[uint64]float64{}}
}

// addFlight adds the placed loads of a flight.
func (s *solutionCheck) addFlight(id uint64, shares []placement.PlacedLoad) {
	i := slices.IndexFunc(s.fleet.Flights, func(f placement.Flight) bool { return f.ID == id })
	flight := &s.fleet.Flights[i]
	seen := map[int]bool{}
	for _, share := range shares {
		host := hostIndex(s.fleet, share.Host)
		s.parts[host] = append(s.parts[host], placedPart{share.Load, s.gain(flight, share, host)})
		s.load[host] += share.Load
		s.placed[id] += share.Load
		if !seen[host] {
			seen[host] = true
			s.flightCount[host]++
		}
	}
}

// gain is what a share of a flight is worth on a host. The overhead of a flight's first host is refunded in proportion.
func (s *solutionCheck) gain(flight *placement.Flight, share placement.PlacedLoad, host int) float64 {
	p := slices.IndexFunc(flight.Parts, func(p placement.Part) bool { return p.Room == share.Room })
	part := flight.Parts[p]
	lost := lostShare(s.fleet, share.Room, hostIndex(s.fleet, flight.CurrentHost), host)
	refund := slices.Min(s.overheadCost) * share.Load / flightLoad(flight)
	return part.Worth*share.Load/part.Load*(1-lost) + refund
}

func flightLoad(flight *placement.Flight) (load float64) {
	for _, p := range flight.Parts {
		load += p.Load
	}
	return load
}

// fits reports whether no host holds more than its capacity.
func (s *solutionCheck) fits() bool {
	for host, serve := range s.capacity {
		if s.load[host]+float64(s.flightCount[host])*s.overhead[host] > serve*(1+overfillTolerance) {
			return false
		}
	}
	return true
}

// servesAll reports whether all demand is placed.
func (s *solutionCheck) servesAll() bool {
	demanded := map[uint64]float64{}
	for i := range s.fleet.Flights {
		demanded[s.fleet.Flights[i].ID] += flightLoad(&s.fleet.Flights[i])
	}
	for id, load := range demanded {
		if s.placed[id] < load*(1-unservedTolerance) {
			return false
		}
	}
	return true
}
