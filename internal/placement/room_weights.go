package placement

import (
	"maps"
	"math"
	"slices"
)

// hostsPerKey is the number of hosts over which the connections of a key are spread: those with the two highest scores
// in the room's list.
const hostsPerKey = 2

// RoomFlow computes how a fleet's demand is distributed over its rooms by weights. As weights differ by room, the part
// of a flight that arrives in a room is on that room's own pair of hosts, and both of them pay the overhead.
func RoomFlow(f *Fleet) Flow {
	p := newProblem(f)
	usable, demandAt := make([]float64, len(p.rooms)), map[[2]int]*Demand{}
	for h, r := range p.hostRoom {
		usable[r] += p.usable[h]
	}
	partLoad := map[[2]int]float64{} // load by flight and room
	for i := range p.pieces {
		partLoad[[2]int{p.pieces[i].flight, p.pieces[i].room}] += p.pieces[i].load
	}
	for i := range p.pieces {
		c := &p.pieces[i]
		if c.load <= 0 {
			continue
		}
		load := c.load + hostsPerKey*p.prices.PerHostOverhead*c.load/partLoad[[2]int{c.flight, c.room}]
		// Demand is grouped by worth per load, in steps of a factor of the square root of two.
		worthLevel := int(math.Round(2 * math.Log2(max(c.worth/load, 1e-12))))
		key := [2]int{c.room, max(min(worthLevel, 12), -12)}
		d := demandAt[key]
		if d == nil {
			d = &Demand{Room: p.rooms[c.room]}
			demandAt[key] = d
		}
		d.Load += load
		d.Worth += c.worth
	}
	var demand []Demand
	for _, d := range demandAt {
		d.Worth /= d.Load
		demand = append(demand, *d)
	}
	return solveFlow(p.rooms, usable, demand, p.prices.Crossing)
}

// hostWeights are the weights of the hosts for the balancers of each room: the load that the room sends to the room of
// a host, distributed by usable capacity. A host that gets no load keeps a small weight, because the ranking treats a
// weight of 0 as 1.
func (f *Flow) hostWeights(hosts []PlanHost) map[string]map[string]float64 {
	usableInRoom := map[string]float64{}
	for _, h := range hosts {
		usableInRoom[h.Room] += h.UsableCapacity
	}
	out := map[string]map[string]float64{}
	for from, name := range f.Rooms {
		total := sum(f.Load[from])
		w := map[string]float64{}
		for _, h := range hosts {
			to := slices.Index(f.Rooms, h.Room)
			switch {
			case to < 0 || usableInRoom[h.Room] <= 0:
				w[h.ID] = 0
			case total > 0:
				w[h.ID] = f.Load[from][to] / total * h.UsableCapacity / usableInRoom[h.Room]
			default: // no known demand arrives in this room
				w[h.ID] = h.UsableCapacity
			}
		}
		out[name] = normalise(w)
	}
	return out
}

// minWeight is the least weight of a host, as a share of the mean. Without it, a weight of 0 would count as 1, and the
// product in the ranking's formula would lose precision where weights differ by orders of magnitude.
const minWeight = 0.005

// normalise scales weights to a mean of 1, and raises those below minWeight to it.
func normalise(w map[string]float64) map[string]float64 {
	total := 0.0
	for _, id := range sortedKeys(w) { // sorted: floating-point sums depend on the order, and all balancers must agree
		total += w[id]
	}
	for id, x := range w {
		if total > 0 {
			x = x / total * float64(len(w))
		} else {
			x = 1
		}
		w[id] = max(x, minWeight)
	}
	return w
}

// sortedKeys returns the keys of a map in order, so that results do not depend on the iteration order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// LimitUtilisation returns a fleet whose hosts are limited to a multiple of the fleet's mean utilisation, so that a
// plan leaves nearly the same headroom in every room. What a plan cannot foresee (keys that fall on the same hosts,
// load that shows late) then meets the same headroom everywhere; without this limit, a room is filled completely before
// any load leaves it. It is applied to the input of the solver, so more capacity still never lowers the value. If the
// demand exceeds what the fleet serves, the fleet is returned unchanged.
func LimitUtilisation(f *Fleet, factor float64) *Fleet {
	demand, capacity, cells := 0.0, 0.0, f.hasCells()
	for i := range f.Flights {
		pairs := len(f.Flights[i].Parts)
		if cells {
			pairs = 1
		}
		demand += float64(pairs) * hostsPerKey * f.Prices.PerHostOverhead
		for _, p := range f.Flights[i].Parts {
			demand += p.Load
		}
	}
	for i := range f.Hosts {
		capacity += f.Hosts[i].UsableCapacity(&f.Prices)
	}
	if factor <= 0 || capacity <= 0 || demand*factor >= capacity {
		return f
	}
	out := *f
	out.Hosts = slices.Clone(f.Hosts)
	for i := range out.Hosts {
		out.Hosts[i].Capacity *= demand * factor / capacity
	}
	return &out
}

// hasCells reports whether the hosts of the fleet are cells.
func (f *Fleet) hasCells() bool {
	return slices.ContainsFunc(f.Hosts, func(h Host) bool { return h.HostsPerFlight > 1 })
}

// RoomsAsCells returns a fleet whose hosts are the rooms of f, each as a cell with the name of the room. A plan for it
// has every flight in one room.
func RoomsAsCells(f *Fleet) *Fleet {
	out, cellOf := *f, map[string]*Host{}
	out.Hosts = nil
	for i := range f.Hosts {
		h := &f.Hosts[i]
		if cellOf[h.Room] == nil {
			cellOf[h.Room] = &Host{ID: h.Room, Room: h.Room, HostsPerFlight: hostsPerKey}
		}
		// The error of the sum is left out: errors of many hosts average out, and the rest is neglected.
		cellOf[h.Room].Capacity += h.expectedCapacity()
	}
	for _, room := range sortedKeys(cellOf) {
		out.Hosts = append(out.Hosts, *cellOf[room])
	}
	return &out
}
