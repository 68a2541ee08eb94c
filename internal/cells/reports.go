package cells

import (
	"time"

	"tealtiller/policy"
)

// Counts are what a cell has done since the process started.
type Counts struct {
	RefusedFull, RefusedTooFast, RefusedNoHost int64 // refused by the cell's limits, or for want of an endpoint in service
	RefusedByPolicy                            int64 // refused by its module
	Overflowed                                 int64 // sent to another cell instead
	MovesSent                                  int64 // clients told to move as their carrier leaves the cell
}

// Stats are what an operator reads of a cell.
type Stats struct {
	Name               string
	Connections        int // connections that are established or being set up
	Guests             int // of them those that overflowed from other cells
	Hosts, UsableHosts int // in the list; of them those that the module does not avoid
	PendingMoves       int // connections established here whose flight belongs, or will belong, in another cell by a move
	Counts
}

// ConnectionMetric tells of an open connection.
func (f *Fleet) ConnectionMetric(now time.Duration, id string, kind policy.MetricKind, level float64) {
	if e := f.entries[id]; e != nil {
		e.cell.module.ConnectionMetric(now, id, kind, level)
	}
}

// ServerDelay tells how long a message takes now at an endpoint; whoever has connections there hears of it.
func (f *Fleet) ServerDelay(now time.Duration, server string, delay time.Duration) {
	for _, c := range f.inOrder() {
		c.module.ServerDelay(now, server, delay)
	}
}

// ProbeResult tells of an endpoint's report, or that it gave none; whoever may have asked for it hears of it.
func (f *Fleet) ProbeResult(now time.Duration, server string, report policy.Report) {
	for _, c := range f.inOrder() {
		c.module.ProbeResult(now, server, report)
	}
}

// Lease tells until when the list may be used.
func (f *Fleet) Lease(now, until time.Duration) {
	f.leaseUntil = until
	for _, c := range f.inOrder() {
		c.module.Lease(now, until)
	}
}

// ServerCounts is how many endpoints the list names, and how many of them are avoided now.
func (f *Fleet) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, c := range f.inOrder() {
		l, a := c.module.ServerCounts(now)
		listed, avoided = listed+l, avoided+a
	}
	return listed, avoided
}

// Stats are those of the plan's cells in its order; without a plan there are none.
func (f *Fleet) Stats(now time.Duration) []Stats {
	if f.plan == nil {
		return nil
	}
	left := f.movesLeft()
	out := make([]Stats, len(f.cells))
	for i, c := range f.cells {
		listed, avoided := c.module.ServerCounts(now)
		out[i] = Stats{Name: c.name, Connections: c.open, Guests: c.guests, Hosts: listed, UsableHosts: listed - avoided,
			PendingMoves: left[c], Counts: c.count}
	}
	return out
}

// movesLeft counts, for each cell, the connections there that a move is to take to another one.
func (f *Fleet) movesLeft() map[*cell]int {
	left := map[*cell]int{}
	for i := range f.plan.Moves {
		m := &f.plan.Moves[i]
		source, target := f.named(m.From), f.named(m.To)
		if m.ReturnStart > 0 {
			source, target = target, source
		}
		if source == target {
			continue
		}
		for _, e := range f.movers[m.Carrier] {
			if f.where(e) == source && !e.told && e.from == nil {
				left[source]++
			}
		}
	}
	return left
}
