package placement

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// FleetHash is a hash of a fleet, so that plans show whether they were made from the same input.
func FleetHash(f *Fleet) string {
	encoded, _ := json.Marshal(f)
	return fmt.Sprintf("%016x", xxhash.Sum64(encoded))
}

// minCarrierShare is the share of a carrier's load in one cell from which on the plan assigns the carrier to that cell.
const minCarrierShare = 0.9

// NewPlan makes the plan for a fleet from a solution, with weights of the hosts by room. Where the solution is for the
// fleet's rooms as cells, or for other cells, the plan assigns flights and carriers to cells, and each host is weighted
// by its usable capacity.
func NewPlan(f *Fleet, solution *Solution, created time.Time, holdTime, fadeTime time.Duration) *Plan {
	flow := RoomFlow(f)
	p := &Plan{Version: PlanVersion, Created: created.UTC().Truncate(time.Second), InputsHash: FleetHash(f),
		Method: solution.Method, Value: solution.Total, Bound: solution.Bound,
		HoldTime: Duration(holdTime), FadeTime: Duration(fadeTime), Demand: map[string]float64{}}
	for i := range f.Hosts {
		h := &f.Hosts[i]
		p.Hosts = append(p.Hosts, PlanHost{h.ID, h.Room, h.Kind, h.UsableCapacity(&f.Prices)})
	}
	slices.SortFunc(p.Hosts, byID)
	for r, room := range flow.Rooms {
		p.Demand[room] = sum(flow.Load[r])
	}
	switch {
	case p.placesOutsideHosts(solution):
		p.assignCells(solution)
		p.RoomWeights = p.recomputeWeights(p.Hosts)
	case f.hasCells(): // the hosts in the cells are not known
		p.Hosts = nil
		p.assignCells(solution)
	default:
		p.RoomWeights = flow.hostWeights(p.Hosts)
	}
	p.addShed(f, solution)
	p.indexFlights()
	return p
}

func byID(a, b PlanHost) int { return cmp.Compare(a.ID, b.ID) }

// placesOutsideHosts reports whether a solution places flights on something that is no host of the plan: rooms as
// cells, or other cells.
func (p *Plan) placesOutsideHosts(solution *Solution) bool {
	known := map[string]bool{}
	for _, h := range p.Hosts {
		known[h.ID] = true
	}
	return slices.ContainsFunc(solution.Flights, func(fl FlightPlacement) bool {
		return len(fl.Loads) > 0 && !known[fl.Loads[0].Host]
	})
}

// carrierCell is a pair of a carrier and a cell.
type carrierCell struct{ carrier, cell string }

// assignCells assigns each placed flight to its cell, and each carrier to the cell that holds nine tenths of its load,
// if there is one.
func (p *Plan) assignCells(solution *Solution) {
	p.Carriers, p.Flights = map[string]string{}, map[string]string{}
	load, all := map[carrierCell]float64{}, map[string]float64{}
	for _, fl := range solution.Flights {
		best := PlacedLoad{}
		for _, placed := range fl.Loads {
			load[carrierCell{fl.Carrier, placed.Host}] += placed.Load
			all[fl.Carrier] += placed.Load
			if placed.Load > best.Load {
				best = placed
			}
		}
		if best.Host != "" {
			p.Flights[strconv.FormatUint(fl.ID, 16)] = best.Host
		}
	}
	for key, l := range load {
		if key.carrier != "" && l >= minCarrierShare*all[key.carrier] {
			p.Carriers[key.carrier] = key.cell
		}
	}
}

// addShed lists the demand that a solution does not place, by carrier, the least worth per load first.
func (p *Plan) addShed(f *Fleet, solution *Solution) {
	byCarrier := map[string]*CarrierShed{}
	placedLoad := map[uint64]float64{}
	for _, fl := range solution.Flights {
		for _, placed := range fl.Loads {
			placedLoad[fl.ID] += placed.Load
		}
	}
	for i := range f.Flights {
		fl := &f.Flights[i]
		load, worth := fl.totals()
		rest := load - placedLoad[fl.ID]
		if !(rest > tolerance*load) {
			continue
		}
		shed := byCarrier[fl.Carrier]
		if shed == nil {
			shed = &CarrierShed{Carrier: fl.Carrier}
			byCarrier[fl.Carrier] = shed
		}
		shed.Load += rest
		shed.Worth += worth * rest / load
	}
	for _, c := range sortedKeys(byCarrier) {
		p.ShedDemand = append(p.ShedDemand, *byCarrier[c])
	}
	slices.SortStableFunc(p.ShedDemand, func(a, b CarrierShed) int { return cmp.Compare(a.Worth*b.Load, b.Worth*a.Load) })
}
