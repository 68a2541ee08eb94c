package placement

import (
	"cmp"
	"math"
	"slices"
)

// maxPieceOverheads is the largest load that is placed as one piece, in multiples of the overhead of a further host. A
// larger part is cut, as it may be larger than any host, and the cost of the cut is small compared to its load. The rule
// must not depend on the capacities of hosts: otherwise, more capacity could lower the value of the best placement.
const maxPieceOverheads = 8

// maxCutsPerPart limits the number of pieces into which one part is cut.
const maxCutsPerPart = 256

// targetPieces is the number of pieces into which the whole demand is cut where a further host costs nothing.
const targetPieces = 32

// piece is the unit of placement: a part of a flight, or a fraction of a part that is cut.
type piece struct {
	flight, room int
	load, worth  float64
	wasteCredit  float64 // its share of the waste of the flight's first host
	current      int     // host that the plan in force names, or none
}

// none stands for the absence of a host or a room.
const none = -1

// problem is a fleet with hosts, rooms and flights as indexes. Hosts and rooms are sorted by name and flights by load
// and id, so that the order of the input does not matter.
type problem struct {
	fleet         *Fleet
	hostIndexes   []int     // index in the fleet, by host of the problem
	usable        []float64 // usable capacity of each host
	hostRoom      []int     // room of each host
	overhead      []float64 // load that each host pays for a flight
	rooms         []string
	hostsByRoom   [][]int
	pieces        []piece
	flightIndexes []int // index in the fleet, by flight of the problem
	firstPiece    []int // the pieces of flight i are those from firstPiece[i] to before firstPiece[i+1]
	flightLoad    []float64
	prices        Prices
	wastePerLoad  float64   // cost of a load that serves nobody
	totalWorth    float64   // of all flights
	minOverhead   []float64 // least overhead among the hosts of each room
	isCurrentHost []bool    // the plan in force places a flight on this host, so it is not interchangeable with others
}

// nameIndexes are the indexes of rooms and hosts in a problem, by their names.
type nameIndexes struct{ rooms, hosts map[string]int }

func newProblem(f *Fleet) *problem {
	p := &problem{fleet: f, prices: f.Prices}
	indexes := nameIndexes{rooms: p.indexRooms(), hosts: map[string]int{}}
	p.addHosts(indexes)
	p.orderFlights()
	maxLoad := p.maxPieceLoad()
	totalLoad := 0.0
	for n := range p.flightIndexes {
		load := p.addPieces(n, maxLoad, indexes)
		totalLoad += load
		p.flightLoad = append(p.flightLoad, load)
	}
	p.firstPiece = append(p.firstPiece, len(p.pieces))
	if totalLoad > 0 {
		p.wastePerLoad = f.Prices.Waste * p.totalWorth / totalLoad
	}
	p.creditFirstHosts()
	return p
}

// indexRooms lists the rooms of hosts and flights sorted by name, and returns the index of each.
func (p *problem) indexRooms() map[string]int {
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

// addHosts adds the hosts in order of their ids.
func (p *problem) addHosts(indexes nameIndexes) {
	f := p.fleet
	for i := range f.Hosts {
		p.hostIndexes = append(p.hostIndexes, i)
	}
	slices.SortFunc(p.hostIndexes, func(a, b int) int { return cmp.Compare(f.Hosts[a].ID, f.Hosts[b].ID) })
	p.hostsByRoom = make([][]int, len(p.rooms))
	for j, i := range p.hostIndexes {
		h := &f.Hosts[i]
		indexes.hosts[h.ID] = j
		r := indexes.rooms[h.Room]
		p.hostRoom = append(p.hostRoom, r)
		p.hostsByRoom[r] = append(p.hostsByRoom[r], j)
		p.usable = append(p.usable, h.UsableCapacity(&f.Prices))
		p.overhead = append(p.overhead, f.Prices.PerHostOverhead*h.hostsPerFlight())
	}
	p.minOverhead, p.isCurrentHost = make([]float64, len(p.rooms)), make([]bool, len(p.hostIndexes))
	for r, hosts := range p.hostsByRoom {
		for j, h := range hosts {
			if j == 0 || p.overhead[h] < p.minOverhead[r] {
				p.minOverhead[r] = p.overhead[h]
			}
		}
	}
}

// orderFlights sorts the flights, the largest first.
func (p *problem) orderFlights() {
	all := p.fleet.Flights
	for i := range all {
		p.flightIndexes = append(p.flightIndexes, i)
	}
	slices.SortFunc(p.flightIndexes, func(a, b int) int {
		loadA, _ := all[a].totals()
		loadB, _ := all[b].totals()
		return cmp.Or(cmp.Compare(loadB, loadA), cmp.Compare(all[a].ID, all[b].ID))
	})
}

// totals is the sum of all parts of a flight.
func (fl *Flight) totals() (load, worth float64) {
	for _, part := range fl.Parts {
		load, worth = load+part.Load, worth+part.Worth
	}
	return load, worth
}

// maxPieceLoad is the load above which a part is cut.
func (p *problem) maxPieceLoad() float64 {
	maxLoad := maxPieceOverheads * p.prices.PerHostOverhead
	if maxLoad == 0 {
		for i := range p.fleet.Flights {
			load, _ := p.fleet.Flights[i].totals()
			maxLoad += load / targetPieces
		}
	}
	return maxLoad
}

// addPieces adds the parts of a flight, cut where they are large, and returns the load of the flight.
func (p *problem) addPieces(n int, maxLoad float64, indexes nameIndexes) (load float64) {
	fl := &p.fleet.Flights[p.flightIndexes[n]]
	p.firstPiece = append(p.firstPiece, len(p.pieces))
	current, known := indexes.hosts[fl.CurrentHost]
	if !known {
		current = none
	}
	parts := slices.Clone(fl.Parts)
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Room, b.Room) })
	for _, part := range parts {
		if part.Load == 0 && part.Worth == 0 {
			continue
		}
		if known {
			p.isCurrentHost[current] = true
		}
		cuts := 1
		if maxLoad > 0 && part.Load > maxLoad {
			cuts = int(min(math.Ceil(part.Load/maxLoad-tolerance), maxCutsPerPart))
		}
		for range cuts {
			c := float64(cuts)
			p.pieces = append(p.pieces, piece{n, indexes.rooms[part.Room], part.Load / c, part.Worth / c, 0, current})
		}
		load += part.Load
		p.totalWorth += part.Worth
	}
	return load
}

// creditFirstHosts gives each piece its share of the waste of its flight's first host.
func (p *problem) creditFirstHosts() {
	if len(p.overhead) == 0 {
		return
	}
	minOverhead := slices.Min(p.overhead)
	for i := range p.pieces {
		if c := &p.pieces[i]; p.flightLoad[c.flight] > 0 {
			c.wasteCredit = p.wastePerLoad * minOverhead * c.load / p.flightLoad[c.flight]
		}
	}
}
