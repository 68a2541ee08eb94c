package lab

import (
	"slices"

	"tealtiller/internal/placement"
)

// Shares by which sums of loads may be off before an answer counts as overfull, or as not serving all demand.
const overfull, unserved = 1e-6, 1e-9

// WorthOf is what a solver's answer is worth, and whether it serves all demand within what every host serves.
func WorthOf(f *placement.Fleet, a *placement.Solution) (worth float64, feasible bool) {
	s := newExactAnswer(f)
	for _, got := range a.Flights {
		s.addFlight(got.ID, got.Loads)
	}
	return s.total(), s.fits() && s.servesAll()
}

// exactAnswer is a solver's answer as the other opinion reads it.
type exactAnswer struct {
	*exactLoad
	fleet  *placement.Fleet
	load   []float64          // by host
	placed map[uint64]float64 // loads, by flight
}

func newExactAnswer(f *placement.Fleet) *exactAnswer {
	c := newExactCase(f)
	return &exactAnswer{exactLoad: newExactLoad(c), fleet: f, load: make([]float64, len(c.serve)), placed: map[uint64]float64{}}
}

// addFlight places what stands of a flight.
func (s *exactAnswer) addFlight(id uint64, shares []placement.PlacedLoad) {
	i := slices.IndexFunc(s.fleet.Flights, func(f placement.Flight) bool { return f.ID == id })
	flight := &s.fleet.Flights[i]
	seen := map[int]bool{}
	for _, share := range shares {
		host := hostIndex(s.fleet, share.Host)
		s.parts[host] = append(s.parts[host], held{share.Load, s.gain(flight, share, host)})
		s.load[host] += share.Load
		s.placed[id] += share.Load
		if !seen[host] {
			seen[host] = true
			s.flights[host]++
		}
	}
}

// gain is what a share of a flight brings on a host, the first host's price given back.
func (s *exactAnswer) gain(flight *placement.Flight, share placement.PlacedLoad, host int) float64 {
	p := slices.IndexFunc(flight.Parts, func(p placement.Part) bool { return p.Room == share.Room })
	part := flight.Parts[p]
	lost := lostShare(s.fleet, share.Room, hostIndex(s.fleet, flight.CurrentHost), host)
	back := slices.Min(s.paid) * share.Load / flightLoad(flight)
	return part.Worth*share.Load/part.Load*(1-lost) + back
}

func flightLoad(flight *placement.Flight) (load float64) {
	for _, p := range flight.Parts {
		load += p.Load
	}
	return load
}

// fits tells whether no host holds more than it serves.
func (s *exactAnswer) fits() bool {
	for host, serve := range s.serve {
		if s.load[host]+float64(s.flights[host])*s.pay[host] > serve*(1+overfull) {
			return false
		}
	}
	return true
}

// servesAll tells whether all demand is placed.
func (s *exactAnswer) servesAll() bool {
	asked := map[uint64]float64{}
	for i := range s.fleet.Flights {
		asked[s.fleet.Flights[i].ID] += flightLoad(&s.fleet.Flights[i])
	}
	for id, load := range asked {
		if s.placed[id] < load*(1-unserved) {
			return false
		}
	}
	return true
}
