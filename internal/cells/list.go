package cells

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tealtiller/policy"
)

// Members tells what is new of the endpoint list.
func (f *Fleet) Members(now time.Duration, kind policy.MembersKind, entries []policy.Server) {
	if kind == policy.WatchFailed {
		f.root.module.Members(now, kind, nil)
		return
	}
	if f.plan == nil {
		f.root.module.Members(now, kind, entries)
		f.record(now, kind, entries)
		return
	}
	redealt := f.redealt(kind, entries)
	f.record(now, kind, entries)
	if redealt {
		f.deal(now)
	}
	f.scheduleMoves(now, now)
	parts := f.split(kind, entries)
	for _, c := range f.inOrder() {
		if part := parts[c]; len(part) > 0 || kind != policy.Delta || c == f.root {
			c.module.Members(now, kind, part)
		}
	}
	f.countHosts()
}

// split gives each entry to its cell. A change that has an endpoint gone is for all cells, as any may know it.
func (f *Fleet) split(kind policy.MembersKind, entries []policy.Server) map[*cell][]policy.Server {
	parts := map[*cell][]policy.Server{}
	for _, e := range entries {
		if kind == policy.Delta && e.State == policy.Gone {
			for _, c := range f.numbers {
				parts[c] = append(parts[c], e)
			}
			continue
		}
		if c := f.owners[e.ID]; c != nil {
			parts[c] = append(parts[c], e)
		}
	}
	return parts
}

// redealt tells whether a list has an endpoint come or go, or changes what the assignment depends on.
func (f *Fleet) redealt(kind policy.MembersKind, entries []policy.Server) bool {
	for _, e := range entries {
		was, known := f.listed[e.ID]
		if e.State == policy.Gone != !known || known && (was.Cell != e.Cell || was.Zone != e.Zone || was.Kind != e.Kind) {
			return true
		}
	}
	return kind != policy.Delta && len(entries) != len(f.listed)
}

// record keeps the list as told.
func (f *Fleet) record(now time.Duration, kind policy.MembersKind, entries []policy.Server) {
	before := f.listed
	if kind != policy.Delta {
		f.listed = make(map[string]policy.Server, len(entries))
	}
	for _, e := range entries {
		if e.State != policy.Gone {
			f.listed[e.ID] = e
			delete(f.left, e.ID)
		} else if s, ok := before[e.ID]; ok {
			f.reserve(now, s)
			delete(f.listed, e.ID)
		}
	}
	if kind == policy.Delta {
		return
	}
	for id, s := range before {
		if _, ok := f.listed[id]; !ok {
			f.reserve(now, s)
		}
	}
}

// reserve keeps the place of an endpoint that is gone.
func (f *Fleet) reserve(now time.Duration, s policy.Server) {
	delete(f.owners, s.ID)
	if f.plan != nil && f.plan.AbsentRetention > 0 {
		f.left[s.ID] = absent{s, now + f.plan.AbsentRetention}
	}
}

// deal assigns each listed endpoint to its cell. One that changes its cell is taken from the old one's module at once,
// so that never two send to it, and comes to the new one with its slow-start budget spent.
func (f *Fleet) deal(now time.Duration) {
	hosts := slices.AppendSeq(f.reserved(now), maps.Values(f.listed))
	slices.SortFunc(hosts, byID)
	var dealt map[string]string
	if f.plan != nil {
		dealt = f.plan.AssignHosts(hosts)
	}
	moved := 0
	for _, s := range hosts {
		if _, listed := f.listed[s.ID]; !listed {
			continue
		}
		to := f.root
		if f.plan != nil {
			to = f.named(dealt[s.ID])
		}
		if f.assign(now, s, to) {
			moved++
		}
	}
	if moved > 0 {
		f.host.Log(fmt.Sprintf("cells: %d of %d desk hosts changed their cell", moved, len(f.listed)))
	}
}

// assign gives an endpoint to a cell, and tells whether it was in another one before.
func (f *Fleet) assign(now time.Duration, s policy.Server, to *cell) (moved bool) {
	from := f.owners[s.ID]
	f.owners[s.ID] = to
	if from == nil || from == to {
		return false
	}
	from.module.RemoveServer(s.ID)
	to.module.AddServer(now, s)
	return true
}

// reserved is the endpoints that have left the list and whose place is still kept, in no order; it asks to be woken when
// the first of these places is given up.
func (f *Fleet) reserved(now time.Duration) []policy.Server {
	var hosts []policy.Server
	next := time.Duration(0)
	for id, a := range f.left {
		if a.until <= now {
			delete(f.left, id)
			continue
		}
		hosts = append(hosts, a.Server)
		if next == 0 || a.until < next {
			next = a.until
		}
	}
	if next > 0 && (f.dealAt == 0 || next < f.dealAt) {
		f.dealAt = next
		f.host.Wake(next, timerDeal)
	}
	return hosts
}

// countHosts counts the endpoints in service of each cell.
func (f *Fleet) countHosts() {
	for _, c := range f.numbers {
		c.hosts = 0
	}
	for id, c := range f.owners {
		if f.listed[id].State == policy.Ready {
			c.hosts++
		}
	}
}
