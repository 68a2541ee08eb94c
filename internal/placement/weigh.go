package placement

import (
	"math"
	"slices"
	"time"

	"tealtiller/policy"
)

// fadeSteps is in how many steps a plan goes: each moves some keys to other hosts, so they are few.
const fadeSteps = 8

// Force is how far a plan is in force at a time (Unix time), from 1 to 0, and when that changes next; 0 for never.
func (p *Plan) Force(now time.Duration) (force float64, next time.Duration) {
	born := time.Duration(p.Created.UnixNano())
	end := born + time.Duration(p.Holds)
	step := time.Duration(p.Fades) / fadeSteps
	switch {
	case now < end:
		return 1, end
	case step <= 0 || now >= end+(fadeSteps-1)*step:
		return 0, 0
	}
	done := (now-end)/step + 1
	return 1 - float64(done)/float64(fadeSteps), end + done*step
}

// Weigh is the weight of each listed endpoint for the balancers of a room at a time. It follows from plan, list, room and
// time alone. A host that the plan does not know is taken for the median of its kind and room; where the hosts listed
// are not those of the plan, what rooms send each other is worked out anew from the plan's demand: as much as fits in
// the room, the rest where there is space. A host that drains keeps its weight until it is gone. Danger: each change
// of a weight moves keys, and what arrives mid-flow for them is sent where it is not held.
func (p *Plan) Weigh(now time.Duration, room string, list []policy.Server) map[string]float64 {
	force, _ := p.Force(now)
	told := toldWeights(list)
	if force == 0 || len(p.Hosts) == 0 || p.RoomWeights[room] == nil {
		return told
	}
	hosts, same := p.present(list)
	planned := p.RoomWeights[room]
	if !same || len(planned) != len(p.Hosts) {
		planned = p.anew(hosts)[room]
	}
	if planned == nil {
		return told
	}
	return blend(told, planned, force)
}

// toldWeights is the weights that discovery tells; without a usable one an endpoint counts as 1.
func toldWeights(list []policy.Server) map[string]float64 {
	told := map[string]float64{}
	for _, s := range list {
		w := s.Weight
		if !(w > 0) || math.IsInf(w, 0) {
			w = 1
		}
		told[s.ID] = w
	}
	return told
}

// blend is the weights told, drawn towards those planned by the force of the plan; both at a mean of 1.
func blend(told, planned map[string]float64, force float64) map[string]float64 {
	before, after := map[string]float64{}, map[string]float64{}
	for id, w := range told {
		before[id], after[id] = w, planned[id]
	}
	before, after = level(before), level(after)
	out := map[string]float64{}
	for id := range told {
		out[id] = (1-force)*before[id] + force*after[id]
	}
	return out
}

// present is the listed hosts as the plan takes them, and whether they are the plan's.
func (p *Plan) present(list []policy.Server) (hosts []PlanHost, same bool) {
	known := make(map[string]PlanHost, len(p.Hosts))
	for _, h := range p.Hosts {
		known[h.ID] = h
	}
	same = len(list) == len(p.Hosts)
	for _, s := range list {
		h, ok := known[s.ID]
		if !ok || h.Room != s.Zone || h.Kind != s.Kind {
			h = PlanHost{s.ID, s.Zone, s.Kind, p.median(s.Zone, s.Kind)}
			same = false
		}
		if s.State == policy.Gone {
			h.Serves, same = 0, false
		}
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, byID)
	return hosts, same
}

// median is what hosts of a room and kind serve in the middle; of the kind alone, or of all, where there are none.
func (p *Plan) median(room, kind string) float64 {
	for _, fits := range []func(PlanHost) bool{
		func(h PlanHost) bool { return h.Room == room && h.Kind == kind },
		func(h PlanHost) bool { return h.Kind == kind },
		func(PlanHost) bool { return true },
	} {
		var all []float64
		for _, h := range p.Hosts {
			if fits(h) {
				all = append(all, h.Serves)
			}
		}
		if len(all) > 0 {
			slices.Sort(all)
			return all[len(all)/2]
		}
	}
	return 1
}

// anew works out weights for other hosts than the plan's.
func (p *Plan) anew(hosts []PlanHost) map[string]map[string]float64 {
	rooms := p.roomsWith(hosts)
	serve, demand := make([]float64, len(rooms)), []Demand{}
	for _, h := range hosts {
		serve[slices.Index(rooms, h.Room)] += h.Serves
	}
	for _, r := range rooms {
		demand = append(demand, Demand{r, 1, p.Demand[r]})
	}
	flow := spill(rooms, serve, demand, 0)
	for r := range rooms { // a room with no host left in service sends to all; and so does each where cells keep flights in their rooms
		if sum(flow.Load[r]) == 0 || len(p.Flights) > 0 {
			copy(flow.Load[r], serve)
		}
	}
	return flow.weights(hosts)
}

// roomsWith is the rooms of the plan's demand and of these hosts, in order.
func (p *Plan) roomsWith(hosts []PlanHost) []string {
	rooms := keys(p.Demand)
	for _, h := range hosts {
		if !slices.Contains(rooms, h.Room) {
			rooms = append(rooms, h.Room)
		}
	}
	slices.Sort(rooms)
	return rooms
}
