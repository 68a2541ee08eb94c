package placement

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"tealtiller/internal/cells"
	"tealtiller/policy"
)

// WeightApplier sits between discovery and the consumer of the host list. It keeps the list as discovered, and passes
// it on with the weights of a plan. Without a plan it passes the list on unchanged. It changes nothing but weights: no
// state, no start time, and no host more or less.
type WeightApplier struct {
	plan        *Plan
	room        string                   // of the balancer
	servers     map[string]policy.Server // as discovered, by id
	sentWeights map[string]float64       // as last passed on, by id
}

// NewWeightApplier returns a WeightApplier for a balancer in a room. The plan may be nil.
func NewWeightApplier(plan *Plan, room string) *WeightApplier {
	return &WeightApplier{plan: plan, room: room, servers: map[string]policy.Server{}, sentWeights: map[string]float64{}}
}

// Apply takes an update of the list, and returns the update to pass on instead: with planned weights, and with those
// hosts added whose weight the update changes.
func (w *WeightApplier) Apply(now time.Duration, kind policy.MembersKind, entries []policy.Server) []policy.Server {
	if kind == policy.WatchFailed {
		return entries
	}
	if kind != policy.Delta {
		clear(w.servers)
	}
	for _, e := range entries {
		if e.State == policy.Gone {
			delete(w.servers, e.ID)
			delete(w.sentWeights, e.ID)
		} else {
			w.servers[e.ID] = e
		}
	}
	if w.plan == nil {
		return entries
	}
	out, list := slices.Clone(entries), w.Servers()
	weights := w.plan.Weights(now, w.room, list)
	for i := range out {
		if weight, listed := weights[out[i].ID]; listed && out[i].State != policy.Gone {
			out[i].Weight, w.sentWeights[out[i].ID] = weight, weight
		}
	}
	return append(out, w.changedServers(list, weights)...)
}

// changedServers returns the listed hosts whose weight differs from the one passed on last.
func (w *WeightApplier) changedServers(list []policy.Server, weights map[string]float64) (out []policy.Server) {
	for _, s := range list {
		weight := weights[s.ID]
		if old, sent := w.sentWeights[s.ID]; !sent || old != weight {
			s.Weight, w.sentWeights[s.ID] = weight, weight
			out = append(out, s)
		}
	}
	return out
}

// SetPlan replaces the plan, which may be nil, and returns the hosts whose weight changes by that.
func (w *WeightApplier) SetPlan(now time.Duration, plan *Plan, room string) []policy.Server {
	old := w.plan
	w.plan, w.room = plan, room
	switch {
	case plan != nil:
		if old == nil {
			for id, s := range w.servers {
				w.sentWeights[id] = s.Weight
			}
		}
		list := w.Servers()
		return w.changedServers(list, plan.Weights(now, room, list))
	case old != nil: // back to the discovered weights
		out := w.Servers()
		out = slices.DeleteFunc(out, func(s policy.Server) bool { return w.sentWeights[s.ID] == s.Weight })
		clear(w.sentWeights)
		return out
	}
	return nil
}

// NextChange returns when the force of the plan changes next; 0 for never.
func (w *WeightApplier) NextChange(now time.Duration) time.Duration {
	if w.plan == nil {
		return 0
	}
	_, next := w.plan.Force(now)
	return next
}

// Servers returns the list as discovered, in order of the ids.
func (w *WeightApplier) Servers() []policy.Server {
	return slices.SortedFunc(maps.Values(w.servers), func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
}

// PlanStatus describes the plan in use.
type PlanStatus struct {
	Force          float64
	Age            time.Duration
	Known, Unknown int // listed hosts that the plan names, and those that it does not name
	Missing        int // hosts of the plan that are not listed
}

// Status describes the plan in use; nil without a plan.
func (w *WeightApplier) Status(now time.Duration) *PlanStatus {
	if w.plan == nil {
		return nil
	}
	status := &PlanStatus{Age: now - time.Duration(w.plan.Created.UnixNano())}
	status.Force, _ = w.plan.Force(now)
	for _, h := range w.plan.Hosts {
		if _, listed := w.servers[h.ID]; listed {
			status.Known++
		} else {
			status.Missing++
		}
	}
	status.Unknown = len(w.servers) - status.Known
	return status
}

// Cell returns the cell that the plan assigns to a flight of a carrier at a time, if any. While a plan fades, flights
// leave it one after the other, by their keys.
func (p *Plan) Cell(now time.Duration, carrier string, flight uint64) (string, bool) {
	if len(p.Flights)+len(p.Carriers) == 0 {
		return "", false
	}
	force, _ := p.Force(now)
	if cells.CrossingPosition(flight) >= force {
		return "", false
	}
	cell, ok := p.cellByKey[flight]
	if !ok {
		cell, ok = p.Carriers[carrier]
	}
	return cell, ok
}

// indexFlights parses the keys of flights. It returns the first one that is not a hexadecimal number.
func (p *Plan) indexFlights() (badKey string, ok bool) {
	if len(p.Flights) > 0 {
		p.cellByKey = make(map[uint64]string, len(p.Flights))
	}
	for _, text := range sortedKeys(p.Flights) {
		key, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return text, false
		}
		p.cellByKey[key] = p.Flights[text]
	}
	return "", true
}
