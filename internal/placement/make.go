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

// Hash tells inputs apart.
func Hash(f *Fleet) string {
	text, _ := json.Marshal(f)
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}

// wholeCarrier is the least share of a carrier's load in one cell by which the carrier counts as in it.
const wholeCarrier = 0.9

// NewPlan makes a plan of an answer for a fleet: weights of its hosts by room. Where the answer is for the fleet's rooms, or
// for other cells, flights and carriers are given to them, and each host weighs what it serves.
func NewPlan(f *Fleet, a *Solution, born time.Time, holds, fades time.Duration) *Plan {
	flow := Shares(f)
	p := &Plan{Version: PlanVersion, Created: born.UTC().Truncate(time.Second), InputsHash: Hash(f), Method: a.Method, Value: a.Total, Bound: a.Bound,
		Holds: Span(holds), Fades: Span(fades), Demand: map[string]float64{}}
	for i := range f.Hosts {
		h := &f.Hosts[i]
		p.Hosts = append(p.Hosts, PlanHost{h.ID, h.Room, h.Kind, h.UsableCapacity(&f.Prices)})
	}
	slices.SortFunc(p.Hosts, byID)
	for r, room := range flow.Rooms {
		p.Demand[room] = sum(flow.Load[r])
	}
	switch {
	case p.placesElsewhere(a):
		p.confine(a)
		p.RoomWeights = p.anew(p.Hosts)
	case f.cells(): // whose hosts it does not know
		p.Hosts = nil
		p.confine(a)
	default:
		p.RoomWeights = flow.weights(p.Hosts)
	}
	p.shed(f, a)
	p.index()
	return p
}

func byID(a, b PlanHost) int { return cmp.Compare(a.ID, b.ID) }

// placesElsewhere tells that an answer places flights in what is no host of the plan: its rooms, or cells.
func (p *Plan) placesElsewhere(a *Solution) bool {
	known := map[string]bool{}
	for _, h := range p.Hosts {
		known[h.ID] = true
	}
	return slices.ContainsFunc(a.Flights, func(fl FlightPlacement) bool { return len(fl.Loads) > 0 && !known[fl.Loads[0].Host] })
}

// inCell is a carrier and a cell.
type inCell struct{ carrier, cell string }

// confine names the cell of each flight that is placed in one, and of each carrier whose flights are for nine tenths.
func (p *Plan) confine(a *Solution) {
	p.Carriers, p.Flights = map[string]string{}, map[string]string{}
	load, all := map[inCell]float64{}, map[string]float64{}
	for _, fl := range a.Flights {
		best := PlacedLoad{}
		for _, s := range fl.Loads {
			load[inCell{fl.Carrier, s.Host}] += s.Load
			all[fl.Carrier] += s.Load
			if s.Load > best.Load {
				best = s
			}
		}
		if best.Host != "" {
			p.Flights[strconv.FormatUint(fl.ID, 16)] = best.Host
		}
	}
	for at, l := range load {
		if at.carrier != "" && l >= wholeCarrier*all[at.carrier] {
			p.Carriers[at.carrier] = at.cell
		}
	}
}

// shed tells what an answer has no place for, by carrier, the least worth a load first.
func (p *Plan) shed(f *Fleet, a *Solution) {
	lost := map[string]*CarrierShed{}
	placed := map[uint64]float64{}
	for _, fl := range a.Flights {
		for _, s := range fl.Loads {
			placed[fl.ID] += s.Load
		}
	}
	for i := range f.Flights {
		fl := &f.Flights[i]
		load, worth := fl.total()
		rest := load - placed[fl.ID]
		if !(rest > tolerance*load) {
			continue
		}
		s := lost[fl.Carrier]
		if s == nil {
			s = &CarrierShed{Carrier: fl.Carrier}
			lost[fl.Carrier] = s
		}
		s.Load += rest
		s.Worth += worth * rest / load
	}
	for _, c := range keys(lost) {
		p.ShedDemand = append(p.ShedDemand, *lost[c])
	}
	slices.SortStableFunc(p.ShedDemand, func(a, b CarrierShed) int { return cmp.Compare(a.Worth*b.Load, b.Worth*a.Load) })
}
