package placement

import (
	"cmp"
	"math"
	"slices"
)

// wholeUpTo is how many times the price of a further host a part is placed as a whole; a larger one is cut, as it may be
// larger than any host, and what the cut costs is little against it. The rule must not look at what hosts can do, or
// more of it could be worth less.
const wholeUpTo, mostCuts = 8, 256

// cutsOfAll is into how many pieces all demand would be cut where a further host costs nothing.
const cutsOfAll = 32

// piece is what is placed as one: a part of a flight, or of a part that is cut.
type piece struct {
	flight, room int
	load, worth  float64
	refund       float64 // its share of the waste of the first host
	was          int     // host, or none
}

const none = -1

// problem is a fleet in numbers. Hosts and flights are in the order of their names, so that the order in which they
// were told changes nothing.
type problem struct {
	fleet   *Fleet
	hosts   []int // index in the fleet
	serves  []float64
	room    []int // of each host
	over    []float64
	rooms   []string
	byRoom  [][]int
	pieces  []piece
	flights []int // index in the fleet
	from    []int // pieces of flight i are from[i] to from[i+1]
	flight  []float64
	prices  Prices
	waste   float64   // worth of a load that serves nobody
	worth   float64   // of all
	least   []float64 // that a host of each room pays for a flight
	home    []bool    // of each host: the plan in force has a flight there, so that it is like no other
}

// indexes are the places of rooms and hosts in a problem, by their names.
type indexes struct{ rooms, hosts map[string]int }

func compile(f *Fleet) *problem {
	p := &problem{fleet: f, prices: f.Prices}
	at := indexes{rooms: p.nameRooms(), hosts: map[string]int{}}
	p.addHosts(at)
	p.orderFlights()
	unit := p.cutUnit()
	load := 0.0
	for n := range p.flights {
		sum := p.addPieces(n, unit, at)
		load += sum
		p.flight = append(p.flight, sum)
	}
	p.from = append(p.from, len(p.pieces))
	if load > 0 {
		p.waste = f.Prices.Waste * p.worth / load
	}
	p.refund()
	return p
}

// nameRooms lists the rooms of hosts and flights in order of their names, and tells the index of each.
func (p *problem) nameRooms() map[string]int {
	index := map[string]int{}
	for i := range p.fleet.Hosts {
		index[p.fleet.Hosts[i].Room] = 0
	}
	for i := range p.fleet.Flights {
		for _, part := range p.fleet.Flights[i].Parts {
			index[part.Room] = 0
		}
	}
	for r := range index {
		p.rooms = append(p.rooms, r)
	}
	slices.Sort(p.rooms)
	for i, r := range p.rooms {
		index[r] = i
	}
	return index
}

// addHosts takes the hosts in order of their ids.
func (p *problem) addHosts(at indexes) {
	f := p.fleet
	for i := range f.Hosts {
		p.hosts = append(p.hosts, i)
	}
	slices.SortFunc(p.hosts, func(a, b int) int { return cmp.Compare(f.Hosts[a].ID, f.Hosts[b].ID) })
	p.byRoom = make([][]int, len(p.rooms))
	for j, i := range p.hosts {
		h := &f.Hosts[i]
		at.hosts[h.ID] = j
		r := at.rooms[h.Room]
		p.room = append(p.room, r)
		p.byRoom[r] = append(p.byRoom[r], j)
		p.serves = append(p.serves, h.UsableCapacity(&f.Prices))
		p.over = append(p.over, f.Prices.PerHostOverhead*h.spread())
	}
	p.least, p.home = make([]float64, len(p.rooms)), make([]bool, len(p.hosts))
	for r, hosts := range p.byRoom {
		for j, h := range hosts {
			if j == 0 || p.over[h] < p.least[r] {
				p.least[r] = p.over[h]
			}
		}
	}
}

// orderFlights takes the flights, the largest first.
func (p *problem) orderFlights() {
	all := p.fleet.Flights
	for i := range all {
		p.flights = append(p.flights, i)
	}
	slices.SortFunc(p.flights, func(a, b int) int {
		loadA, _ := all[a].total()
		loadB, _ := all[b].total()
		return cmp.Or(cmp.Compare(loadB, loadA), cmp.Compare(all[a].ID, all[b].ID))
	})
}

// total is what all parts of a flight come to.
func (fl *Flight) total() (load, worth float64) {
	for _, part := range fl.Parts {
		load, worth = load+part.Load, worth+part.Worth
	}
	return load, worth
}

// cutUnit is the load over which a part is cut.
func (p *problem) cutUnit() float64 {
	unit := wholeUpTo * p.prices.PerHostOverhead
	if unit == 0 {
		for i := range p.fleet.Flights {
			load, _ := p.fleet.Flights[i].total()
			unit += load / cutsOfAll
		}
	}
	return unit
}

// addPieces takes the parts of a flight, cut where they are large, and tells its load.
func (p *problem) addPieces(n int, unit float64, at indexes) (sum float64) {
	fl := &p.fleet.Flights[p.flights[n]]
	p.from = append(p.from, len(p.pieces))
	was, known := at.hosts[fl.CurrentHost]
	if !known {
		was = none
	}
	parts := slices.Clone(fl.Parts)
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Room, b.Room) })
	for _, part := range parts {
		if part.Load == 0 && part.Worth == 0 {
			continue
		}
		if known {
			p.home[was] = true
		}
		cuts := 1
		if unit > 0 && part.Load > unit {
			cuts = int(min(math.Ceil(part.Load/unit-tolerance), mostCuts))
		}
		for range cuts {
			c := float64(cuts)
			p.pieces = append(p.pieces, piece{n, at.rooms[part.Room], part.Load / c, part.Worth / c, 0, was})
		}
		sum += part.Load
		p.worth += part.Worth
	}
	return sum
}

// refund gives each piece its share of the waste of a flight's first host.
func (p *problem) refund() {
	if len(p.over) == 0 {
		return
	}
	least := slices.Min(p.over)
	for i := range p.pieces {
		if c := &p.pieces[i]; p.flight[c.flight] > 0 {
			c.refund = p.waste * least * c.load / p.flight[c.flight]
		}
	}
}
