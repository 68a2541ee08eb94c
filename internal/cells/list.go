package cells

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tealtiller/policy"
)

// Members applies an update of the host list.
func (f *Fleet) Members(now time.Duration, kind policy.MembersKind, entries []policy.Server) {
	if kind == policy.WatchFailed {
		f.root.balancer.Members(now, kind, nil)
		return
	}
	if f.plan == nil {
		f.root.balancer.Members(now, kind, entries)
		f.recordList(now, kind, entries)
		return
	}
	reassign := f.needsReassignment(kind, entries)
	f.recordList(now, kind, entries)
	if reassign {
		f.reassignHosts(now)
	}
	f.scheduleMoves(now, now)
	parts := f.splitByCell(kind, entries)
	for _, c := range f.sortedCells() {
		if part := parts[c]; len(part) > 0 || kind != policy.Delta || c == f.root {
			c.balancer.Members(now, kind, part)
		}
	}
	f.countHostsInService()
}

// splitByCell groups list entries by cell. In a delta, an entry that is gone goes to all cells, as any of them may
// still know the host.
func (f *Fleet) splitByCell(kind policy.MembersKind, entries []policy.Server) map[*cell][]policy.Server {
	parts := map[*cell][]policy.Server{}
	for _, e := range entries {
		if kind == policy.Delta && e.State == policy.Gone {
			for _, c := range f.cellsByNumber {
				parts[c] = append(parts[c], e)
			}
			continue
		}
		if c := f.cellOfHost[e.ID]; c != nil {
			parts[c] = append(parts[c], e)
		}
	}
	return parts
}

// needsReassignment reports whether a list update adds or removes a host or changes a property that the assignment
// depends on.
func (f *Fleet) needsReassignment(kind policy.MembersKind, entries []policy.Server) bool {
	for _, e := range entries {
		previous, known := f.listedHosts[e.ID]
		if e.State == policy.Gone != !known ||
			known && (previous.Cell != e.Cell || previous.Zone != e.Zone || previous.Kind != e.Kind) {
			return true
		}
	}
	return kind != policy.Delta && len(entries) != len(f.listedHosts)
}

// recordList updates listedHosts and absentHosts from a list update.
func (f *Fleet) recordList(now time.Duration, kind policy.MembersKind, entries []policy.Server) {
	previous := f.listedHosts
	if kind != policy.Delta {
		f.listedHosts = make(map[string]policy.Server, len(entries))
	}
	for _, e := range entries {
		if e.State != policy.Gone {
			f.listedHosts[e.ID] = e
			delete(f.absentHosts, e.ID)
		} else if s, ok := previous[e.ID]; ok {
			f.retainAbsent(now, s)
			delete(f.listedHosts, e.ID)
		}
	}
	if kind == policy.Delta {
		return
	}
	for id, s := range previous {
		if _, ok := f.listedHosts[id]; !ok {
			f.retainAbsent(now, s)
		}
	}
}

// retainAbsent removes a host that has left the list from its cell, and keeps counting it in the assignment for
// AbsentRetention.
func (f *Fleet) retainAbsent(now time.Duration, s policy.Server) {
	delete(f.cellOfHost, s.ID)
	if f.plan != nil && f.plan.AbsentRetention > 0 {
		f.absentHosts[s.ID] = absentHost{s, now + f.plan.AbsentRetention}
	}
}

// reassignHosts assigns each listed host to a cell. A host that changes its cell is removed from the old cell's
// balancer at once, so that two balancers never send to it, and joins the new one with its slow-start budget spent.
func (f *Fleet) reassignHosts(now time.Duration) {
	hosts := slices.AppendSeq(f.retainedHosts(now), maps.Values(f.listedHosts))
	slices.SortFunc(hosts, compareIDs)
	var cellNames map[string]string
	if f.plan != nil {
		cellNames = f.plan.AssignHosts(hosts)
	}
	moved := 0
	for _, s := range hosts {
		if _, listed := f.listedHosts[s.ID]; !listed {
			continue
		}
		to := f.root
		if f.plan != nil {
			to = f.cellNamed(cellNames[s.ID])
		}
		if f.assignHost(now, s, to) {
			moved++
		}
	}
	if moved > 0 {
		f.host.Log(fmt.Sprintf("cells: %d of %d desk hosts reassigned to another cell", moved, len(f.listedHosts)))
	}
}

// assignHost assigns a host to a cell, and reports whether it was in another one before.
func (f *Fleet) assignHost(now time.Duration, s policy.Server, to *cell) (moved bool) {
	from := f.cellOfHost[s.ID]
	f.cellOfHost[s.ID] = to
	if from == nil || from == to {
		return false
	}
	from.balancer.RemoveServer(s.ID)
	to.balancer.AddServer(now, s)
	return true
}

// retainedHosts returns the hosts that have left the list within AbsentRetention, in no particular order. It drops
// expired ones, and sets a timer for the next to expire.
func (f *Fleet) retainedHosts(now time.Duration) []policy.Server {
	var hosts []policy.Server
	next := time.Duration(0)
	for id, a := range f.absentHosts {
		if a.until <= now {
			delete(f.absentHosts, id)
			continue
		}
		hosts = append(hosts, a.Server)
		if next == 0 || a.until < next {
			next = a.until
		}
	}
	if next > 0 && (f.reassignAt == 0 || next < f.reassignAt) {
		f.reassignAt = next
		f.host.Wake(next, timerReassign)
	}
	return hosts
}

// countHostsInService updates the number of hosts in service of each cell.
func (f *Fleet) countHostsInService() {
	for _, c := range f.cellsByNumber {
		c.hostsInService = 0
	}
	for id, c := range f.cellOfHost {
		if f.listedHosts[id].State == policy.Ready {
			c.hostsInService++
		}
	}
}
