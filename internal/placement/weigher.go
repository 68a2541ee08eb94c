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

// WeightApplier stands between the list of desk hosts and whoever takes it: it keeps the list as told and hands it on with the
// weights of a plan. Without a plan it hands on what comes, as it comes. It changes nothing but weights: no state, no
// start, no host more or less.
type WeightApplier struct {
	plan  *Plan
	room  string // of the balancer
	list  map[string]policy.Server
	given map[string]float64
}

// NewWeightApplier makes one for a balancer of a room; the plan may be nil.
func NewWeightApplier(plan *Plan, room string) *WeightApplier {
	return &WeightApplier{plan: plan, room: room, list: map[string]policy.Server{}, given: map[string]float64{}}
}

// Apply takes what is told of the list, and returns what is to be handed on in its place: besides, those whose weight
// has changed by it.
func (w *WeightApplier) Apply(now time.Duration, kind policy.MembersKind, entries []policy.Server) []policy.Server {
	if kind == policy.WatchFailed {
		return entries
	}
	if kind != policy.Delta {
		clear(w.list)
	}
	for _, e := range entries {
		if e.State == policy.Gone {
			delete(w.list, e.ID)
			delete(w.given, e.ID)
		} else {
			w.list[e.ID] = e
		}
	}
	if w.plan == nil {
		return entries
	}
	out, list := slices.Clone(entries), w.Servers()
	weights := w.plan.Weigh(now, w.room, list)
	for i := range out {
		if x, listed := weights[out[i].ID]; listed && out[i].State != policy.Gone {
			out[i].Weight, w.given[out[i].ID] = x, x
		}
	}
	return append(out, w.changed(list, weights)...)
}

// changed is the listed hosts whose weight is another than was handed on.
func (w *WeightApplier) changed(list []policy.Server, weights map[string]float64) (out []policy.Server) {
	for _, s := range list {
		x := weights[s.ID]
		if old, given := w.given[s.ID]; !given || old != x {
			s.Weight, w.given[s.ID] = x, x
			out = append(out, s)
		}
	}
	return out
}

// SetPlan takes another plan, or none, and returns the hosts whose weight is another by it.
func (w *WeightApplier) SetPlan(now time.Duration, plan *Plan, room string) []policy.Server {
	old := w.plan
	w.plan, w.room = plan, room
	switch {
	case plan != nil:
		if old == nil {
			for id, s := range w.list {
				w.given[id] = s.Weight
			}
		}
		list := w.Servers()
		return w.changed(list, plan.Weigh(now, room, list))
	case old != nil: // as discovery tells
		out := w.Servers()
		out = slices.DeleteFunc(out, func(s policy.Server) bool { return w.given[s.ID] == s.Weight })
		clear(w.given)
		return out
	}
	return nil
}

// NextChange is when weights change by themselves; 0 for never.
func (w *WeightApplier) NextChange(now time.Duration) time.Duration {
	if w.plan == nil {
		return 0
	}
	_, next := w.plan.Force(now)
	return next
}

// Servers is the list as told, in order of the ids.
func (w *WeightApplier) Servers() []policy.Server {
	return slices.SortedFunc(maps.Values(w.list), func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
}

// PlanStatus tell of a plan in force.
type PlanStatus struct {
	Force          float64
	Age            time.Duration
	Known, Unknown int // listed hosts that the plan names, and that it does not
	Missing        int // hosts of the plan that are not listed
}

// Status is nil without a plan.
func (w *WeightApplier) Status(now time.Duration) *PlanStatus {
	if w.plan == nil {
		return nil
	}
	f := &PlanStatus{Age: now - time.Duration(w.plan.Created.UnixNano())}
	f.Force, _ = w.plan.Force(now)
	for _, h := range w.plan.Hosts {
		if _, listed := w.list[h.ID]; listed {
			f.Known++
		} else {
			f.Missing++
		}
	}
	f.Unknown = len(w.list) - f.Known
	return f
}

// Cell is the cell that a plan has a carrier's flight in at a time. Flights leave a plan that fades one after the other,
// by their keys.
func (p *Plan) Cell(now time.Duration, carrier string, flight uint64) (string, bool) {
	if len(p.Flights)+len(p.Carriers) == 0 {
		return "", false
	}
	force, _ := p.Force(now)
	if cells.CrossingPosition(flight) >= force {
		return "", false
	}
	cell, ok := p.cells[flight]
	if !ok {
		cell, ok = p.Carriers[carrier]
	}
	return cell, ok
}

// index reads the keys of flights; it tells the first that is none.
func (p *Plan) index() (bad string, ok bool) {
	if len(p.Flights) > 0 {
		p.cells = make(map[uint64]string, len(p.Flights))
	}
	for _, text := range keys(p.Flights) {
		key, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return text, false
		}
		p.cells[key] = p.Flights[text]
	}
	return "", true
}
