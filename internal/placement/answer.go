package placement

import "slices"

// Solution is where the pieces of each flight are placed.
type Solution struct {
	Method Method
	Value
	Bound              float64 // no placement is worth more
	Gap                float64 // how much more the bound is, as a share of it
	Steps              int
	Flights            []FlightPlacement
	BindingConstraints []BindingConstraint // the rooms whose hosts are full, and what a further load there is worth
}

// FlightPlacement is a flight and where it is placed. A flight in several places is told with all of them; one that is shed, with
// none.
type FlightPlacement struct {
	ID      uint64
	Carrier string
	Loads   []PlacedLoad
}

// PlacedLoad is what of a flight is on a host: load that arrives in a room.
type PlacedLoad struct {
	Host, Room string
	Load       float64
}

// BindingConstraint is a limit that keeps the answer from being worth more.
type BindingConstraint struct {
	Room        string
	ShadowPrice float64 // worth a second that one more load served there brings, about
}

// Loads is what each host holds in an answer, with what it pays for flights.
func (a *Solution) Loads(f *Fleet) map[string]float64 {
	out, over := map[string]float64{}, map[string]float64{}
	for i := range f.Hosts {
		out[f.Hosts[i].ID], over[f.Hosts[i].ID] = 0, f.Prices.PerHostOverhead*f.Hosts[i].spread()
	}
	for _, fl := range a.Flights {
		seen := map[string]bool{}
		for _, s := range fl.Loads {
			out[s.Host] += s.Load
			if !seen[s.Host] {
				seen[s.Host] = true
				out[s.Host] += over[s.Host]
			}
		}
	}
	return out
}

// answer tells the best placement of a search in the fleet's own names.
func (s *search) answer(method Method) *Solution {
	a := &Solution{Method: method, Value: s.value(s.best), Bound: s.bound, Steps: s.steps}
	if a.Bound = max(a.Bound, a.Total); a.Bound > 0 {
		a.Gap = max(1-a.Total/a.Bound, 0)
	}
	for n := range s.flights {
		a.Flights = append(a.Flights, s.placed(n))
	}
	for r, price := range s.prices {
		if price > 0 {
			a.BindingConstraints = append(a.BindingConstraints, BindingConstraint{s.rooms[r], price})
		}
	}
	return a
}

// placed is where the pieces of a flight are in the best placement, added up by host and room.
func (s *search) placed(n int) FlightPlacement {
	fl := &s.fleet.Flights[s.flights[n]]
	out := FlightPlacement{ID: fl.ID, Carrier: fl.Carrier}
	for k := s.from[n]; k < s.from[n+1]; k++ {
		h := s.best[k]
		if h == none {
			continue
		}
		id, room := s.fleet.Hosts[s.hosts[h]].ID, s.rooms[s.pieces[k].room]
		j := slices.IndexFunc(out.Loads, func(x PlacedLoad) bool { return x.Host == id && x.Room == room })
		if j < 0 {
			j = len(out.Loads)
			out.Loads = append(out.Loads, PlacedLoad{Host: id, Room: room})
		}
		out.Loads[j].Load += s.pieces[k].load
	}
	return out
}
