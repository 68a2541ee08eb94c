package placement

import (
	"math"
	"slices"
	"time"

	"tealtiller/policy"
)

// fadeSteps is the number of steps in which a plan fades out. Each step moves some keys to other hosts, so there are
// few.
const fadeSteps = 8

// Force returns to what extent a plan is in force at a time (Unix time), from 1 to 0, and when that changes next; 0 for
// never.
func (p *Plan) Force(now time.Duration) (force float64, next time.Duration) {
	created := time.Duration(p.Created.UnixNano())
	end := created + time.Duration(p.HoldTime)
	step := time.Duration(p.FadeTime) / fadeSteps
	switch {
	case now < end:
		return 1, end
	case step <= 0 || now >= end+(fadeSteps-1)*step:
		return 0, 0
	}
	steps := (now-end)/step + 1
	return 1 - float64(steps)/float64(fadeSteps), end + steps*step
}

// Weights returns the weight of each listed host for the balancers of a room at a time. It depends on nothing but the
// plan, the list, the room and the time. A host that the plan does not know is taken to have the median capacity of its
// kind and room. If the listed hosts are not those of the plan, the flow between rooms is computed again from the
// plan's demand: as much as fits in the room, the rest where there is capacity. A draining host keeps its weight until
// it is gone, because each change of a weight moves keys, and mid-flow packets of a moved key are sent to a host that
// does not hold their connection.
func (p *Plan) Weights(now time.Duration, room string, list []policy.Server) map[string]float64 {
	force, _ := p.Force(now)
	discovered := discoveredWeights(list)
	if force == 0 || len(p.Hosts) == 0 || p.RoomWeights[room] == nil {
		return discovered
	}
	hosts, same := p.listedHosts(list)
	planned := p.RoomWeights[room]
	if !same || len(planned) != len(p.Hosts) {
		planned = p.recomputeWeights(hosts)[room]
	}
	if planned == nil {
		return discovered
	}
	return blend(discovered, planned, force)
}

// discoveredWeights are the weights that discovery reports; a host without a usable one counts as 1.
func discoveredWeights(list []policy.Server) map[string]float64 {
	discovered := map[string]float64{}
	for _, s := range list {
		w := s.Weight
		if !(w > 0) || math.IsInf(w, 0) {
			w = 1
		}
		discovered[s.ID] = w
	}
	return discovered
}

// blend is the mean of the discovered and the planned weights, weighted by the force of the plan. Both are normalised
// to a mean of 1 first.
func blend(discovered, planned map[string]float64, force float64) map[string]float64 {
	discoveredShares, plannedShares := map[string]float64{}, map[string]float64{}
	for id, w := range discovered {
		discoveredShares[id], plannedShares[id] = w, planned[id]
	}
	discoveredShares, plannedShares = normalise(discoveredShares), normalise(plannedShares)
	out := map[string]float64{}
	for id := range discovered {
		out[id] = (1-force)*discoveredShares[id] + force*plannedShares[id]
	}
	return out
}

// listedHosts returns the listed hosts as the plan describes them, and whether they are exactly those of the plan.
func (p *Plan) listedHosts(list []policy.Server) (hosts []PlanHost, same bool) {
	known := make(map[string]PlanHost, len(p.Hosts))
	for _, h := range p.Hosts {
		known[h.ID] = h
	}
	same = len(list) == len(p.Hosts)
	for _, s := range list {
		h, ok := known[s.ID]
		if !ok || h.Room != s.Zone || h.Kind != s.Kind {
			h = PlanHost{s.ID, s.Zone, s.Kind, p.medianCapacity(s.Zone, s.Kind)}
			same = false
		}
		if s.State == policy.Gone {
			h.UsableCapacity, same = 0, false
		}
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, byID)
	return hosts, same
}

// medianCapacity is the median usable capacity of the hosts of a room and kind; of the kind, or of all hosts, where
// there are none.
func (p *Plan) medianCapacity(room, kind string) float64 {
	for _, fits := range []func(PlanHost) bool{
		func(h PlanHost) bool { return h.Room == room && h.Kind == kind },
		func(h PlanHost) bool { return h.Kind == kind },
		func(PlanHost) bool { return true },
	} {
		var all []float64
		for _, h := range p.Hosts {
			if fits(h) {
				all = append(all, h.UsableCapacity)
			}
		}
		if len(all) > 0 {
			slices.Sort(all)
			return all[len(all)/2]
		}
	}
	return 1
}

// recomputeWeights computes weights for a list of hosts that differs from the plan's.
func (p *Plan) recomputeWeights(hosts []PlanHost) map[string]map[string]float64 {
	rooms := p.allRooms(hosts)
	usable, demand := make([]float64, len(rooms)), []Demand{}
	for _, h := range hosts {
		usable[slices.Index(rooms, h.Room)] += h.UsableCapacity
	}
	for _, r := range rooms {
		demand = append(demand, Demand{r, 1, p.Demand[r]})
	}
	flow := overflowFlow(rooms, usable, demand, 0)
	// A room without flow of its own sends to all hosts by capacity. So does every room if the plan assigns flights to
	// cells, which keep them in their rooms.
	for r := range rooms {
		if sum(flow.Load[r]) == 0 || len(p.Flights) > 0 {
			copy(flow.Load[r], usable)
		}
	}
	return flow.hostWeights(hosts)
}

// allRooms are the rooms of the plan's demand and of the given hosts, sorted.
func (p *Plan) allRooms(hosts []PlanHost) []string {
	rooms := sortedKeys(p.Demand)
	for _, h := range hosts {
		if !slices.Contains(rooms, h.Room) {
			rooms = append(rooms, h.Room)
		}
	}
	slices.Sort(rooms)
	return rooms
}
