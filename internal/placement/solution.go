package placement

import "slices"

// Solution is a placement of the pieces of each flight, with its value.
type Solution struct {
	Method Method
	Value
	Bound              float64 // upper bound on the value of any placement
	Gap                float64 // distance of the value to the bound, as a share of the bound
	Steps              int     // placements evaluated
	Flights            []FlightPlacement
	BindingConstraints []BindingConstraint // the rooms whose hosts are full
}

// FlightPlacement is a flight and its hosts. A flight on several hosts has an entry for each; one that is shed has
// none.
type FlightPlacement struct {
	ID      uint64
	Carrier string
	Loads   []PlacedLoad
}

// PlacedLoad is the load of a flight that arrives in a room and is placed on a host.
type PlacedLoad struct {
	Host, Room string
	Load       float64
}

// BindingConstraint is the capacity of a room, where it limits the value of the solution.
type BindingConstraint struct {
	Room        string
	ShadowPrice float64 // approximate value per second of one more load served there
}

// Loads is the load of each host in a solution, with its overhead for flights.
func (s *Solution) Loads(f *Fleet) map[string]float64 {
	out, overhead := map[string]float64{}, map[string]float64{}
	for i := range f.Hosts {
		out[f.Hosts[i].ID], overhead[f.Hosts[i].ID] = 0, f.Prices.PerHostOverhead*f.Hosts[i].hostsPerFlight()
	}
	for _, fl := range s.Flights {
		seen := map[string]bool{}
		for _, load := range fl.Loads {
			out[load.Host] += load.Load
			if !seen[load.Host] {
				seen[load.Host] = true
				out[load.Host] += overhead[load.Host]
			}
		}
	}
	return out
}

// solution returns the best placement of a search under the names of the fleet.
func (s *search) solution(method Method) *Solution {
	solution := &Solution{Method: method, Value: s.valueOf(s.best), Bound: s.bound, Steps: s.steps}
	if solution.Bound = max(solution.Bound, solution.Total); solution.Bound > 0 {
		solution.Gap = max(1-solution.Total/solution.Bound, 0)
	}
	for n := range s.flightIndexes {
		solution.Flights = append(solution.Flights, s.flightPlacement(n))
	}
	for r, price := range s.dualPrices {
		if price > 0 {
			solution.BindingConstraints = append(solution.BindingConstraints, BindingConstraint{s.rooms[r], price})
		}
	}
	return solution
}

// flightPlacement is the best placement of the pieces of a flight, summed by host and room.
func (s *search) flightPlacement(n int) FlightPlacement {
	fl := &s.fleet.Flights[s.flightIndexes[n]]
	out := FlightPlacement{ID: fl.ID, Carrier: fl.Carrier}
	for k := s.firstPiece[n]; k < s.firstPiece[n+1]; k++ {
		h := s.best[k]
		if h == none {
			continue
		}
		id, room := s.fleet.Hosts[s.hostIndexes[h]].ID, s.rooms[s.pieces[k].room]
		j := slices.IndexFunc(out.Loads, func(x PlacedLoad) bool { return x.Host == id && x.Room == room })
		if j < 0 {
			j = len(out.Loads)
			out.Loads = append(out.Loads, PlacedLoad{Host: id, Room: room})
		}
		out.Loads[j].Load += s.pieces[k].load
	}
	return out
}
