package placement

import (
	"maps"
	"math"
	"slices"
)

// pair is on how many hosts a key's connections stand: the two top scores of the room's list.
const pair = 2

// Shares works out how a fleet's demand is shared out over its rooms by weights. With weights by room, what of a flight
// arrives in a room stands on the room's own pair of hosts; both pay for it.
func Shares(f *Fleet) Flow {
	p := compile(f)
	serve, at := make([]float64, len(p.rooms)), map[[2]int]*Demand{}
	for h, r := range p.room {
		serve[r] += p.serves[h]
	}
	part := map[[2]int]float64{} // load by flight and room
	for i := range p.pieces {
		part[[2]int{p.pieces[i].flight, p.pieces[i].room}] += p.pieces[i].load
	}
	for i := range p.pieces {
		c := &p.pieces[i]
		if c.load <= 0 {
			continue
		}
		load := c.load + pair*p.prices.PerHostOverhead*c.load/part[[2]int{c.flight, c.room}]
		level := int(math.Round(2 * math.Log2(max(c.worth/load, 1e-12)))) // levels of worth, half a doubling each
		key := [2]int{c.room, max(min(level, 12), -12)}
		d := at[key]
		if d == nil {
			d = &Demand{Room: p.rooms[c.room]}
			at[key] = d
		}
		d.Load += load
		d.Worth += c.worth
	}
	var demand []Demand
	for _, d := range at {
		d.Worth /= d.Load
		demand = append(demand, *d)
	}
	return flows(p.rooms, serve, demand, p.prices.Crossing)
}

// weights are those of the hosts for the balancers of each room: what the room sends to a host's room, by what the
// host serves. A host that gets nothing has a little weight all the same: the ranking takes no weight for 1.
func (f *Flow) weights(hosts []PlanHost) map[string]map[string]float64 {
	room := map[string]float64{}
	for _, h := range hosts {
		room[h.Room] += h.Serves
	}
	out := map[string]map[string]float64{}
	for from, name := range f.Rooms {
		total := sum(f.Load[from])
		w := map[string]float64{}
		for _, h := range hosts {
			to := slices.Index(f.Rooms, h.Room)
			switch {
			case to < 0 || room[h.Room] <= 0:
				w[h.ID] = 0
			case total > 0:
				w[h.ID] = f.Load[from][to] / total * h.Serves / room[h.Room]
			default: // nothing arrives here, as far as is known
				w[h.ID] = h.Serves
			}
		}
		out[name] = level(w)
	}
	return out
}

// leastWeight is the least weight of a host, as a share of the mean. Danger: no weight counts as 1, and the product in
// the ranking's formula loses its figures at weights that are far too unlike.
const leastWeight = 0.005

// level brings weights to a mean of 1, none under the least.
func level(w map[string]float64) map[string]float64 {
	total := 0.0
	for _, id := range keys(w) { // in order: sums of floating point depend on it, and balancers must agree
		total += w[id]
	}
	for id, x := range w {
		if total > 0 {
			x = x / total * float64(len(w))
		} else {
			x = 1
		}
		w[id] = max(x, leastWeight)
	}
	return w
}

// keys is the keys of a map in order, so that nothing depends on chance.
func keys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// LimitUtilisation is a fleet whose hosts are taken to serve no more than so many times the fleet's mean fullness, so that a plan
// leaves every room nearly as much headroom as another. What a plan cannot see (keys that fall together, load that is
// late to show) then meets as much of it everywhere; without, a room is filled up to its limit before any load leaves
// it. It is done to a fleet before it is solved: more capacity still is never worth less. Demand over what the fleet
// serves leaves it as it is.
func LimitUtilisation(f *Fleet, times float64) *Fleet {
	demand, capacity, cells := 0.0, 0.0, f.cells()
	for i := range f.Flights {
		pairs := len(f.Flights[i].Parts)
		if cells {
			pairs = 1
		}
		demand += float64(pairs) * pair * f.Prices.PerHostOverhead
		for _, p := range f.Flights[i].Parts {
			demand += p.Load
		}
	}
	for i := range f.Hosts {
		capacity += f.Hosts[i].UsableCapacity(&f.Prices)
	}
	if times <= 0 || capacity <= 0 || demand*times >= capacity {
		return f
	}
	out := *f
	out.Hosts = slices.Clone(f.Hosts)
	for i := range out.Hosts {
		out.Hosts[i].Capacity *= demand * times / capacity
	}
	return &out
}

// cells tells that the fleet's hosts are cells.
func (f *Fleet) cells() bool {
	return slices.ContainsFunc(f.Hosts, func(h Host) bool { return h.HostsPerFlight > 1 })
}

// RoomsAsCells is a fleet whose hosts are its rooms, each a cell of this name: a plan for it has every flight in one room.
func RoomsAsCells(f *Fleet) *Fleet {
	out, at := *f, map[string]*Host{}
	out.Hosts = nil
	for i := range f.Hosts {
		h := &f.Hosts[i]
		if at[h.Room] == nil {
			at[h.Room] = &Host{ID: h.Room, Room: h.Room, HostsPerFlight: pair}
		}
		at[h.Room].Capacity += h.present() // errors of many hosts even out; what is left of them is told as none
	}
	for _, room := range keys(at) {
		out.Hosts = append(out.Hosts, *at[room])
	}
	return &out
}
