package cells

import (
	"time"

	"tealtiller/policy"
)

// Counts are the counters of a cell since the start of the process.
type Counts struct {
	RefusedFull     int64 // MaxConnections was reached
	RefusedTooFast  int64 // MaxOpensPerSecond was reached
	RefusedNoHost   int64 // no host was in service
	RefusedByPolicy int64 // refused by the cell's policy.Balancer
	Overflowed      int64 // sent to the overflow cell
	MovesSent       int64 // MOVE lines sent because the carrier leaves the cell
}

// Stats is the state of a cell as reported to operators.
type Stats struct {
	Name         string
	Connections  int // established or being set up, including guests
	Guests       int // overflowed from other cells
	Hosts        int // in the list
	UsableHosts  int // of Hosts, those that the cell's balancer does not avoid
	PendingMoves int // connections established here that a move will take to another cell
	Counts
}

// ConnectionMetric passes on a measurement of an open connection.
func (f *Fleet) ConnectionMetric(now time.Duration, id string, kind policy.MetricKind, level float64) {
	if r := f.requests[id]; r != nil {
		r.cell.balancer.ConnectionMetric(now, id, kind, level)
	}
}

// ServerDelay reports a server's current message delay to all cells, as any may have connections there.
func (f *Fleet) ServerDelay(now time.Duration, server string, delay time.Duration) {
	for _, c := range f.sortedCells() {
		c.balancer.ServerDelay(now, server, delay)
	}
}

// ProbeResult passes a server's load report, or the lack of one, to all cells, as any may have sent the probe.
func (f *Fleet) ProbeResult(now time.Duration, server string, report policy.Report) {
	for _, c := range f.sortedCells() {
		c.balancer.ProbeResult(now, server, report)
	}
}

// Lease sets the time until which the host list may be used.
func (f *Fleet) Lease(now, until time.Duration) {
	f.leaseUntil = until
	for _, c := range f.sortedCells() {
		c.balancer.Lease(now, until)
	}
}

// ServerCounts returns the number of listed servers, and how many of them are avoided now.
func (f *Fleet) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, c := range f.sortedCells() {
		l, a := c.balancer.ServerCounts(now)
		listed, avoided = listed+l, avoided+a
	}
	return listed, avoided
}

// Stats returns the stats of the plan's cells in the plan's order; nil without a plan.
func (f *Fleet) Stats(now time.Duration) []Stats {
	if f.plan == nil {
		return nil
	}
	pending := f.pendingMoves()
	out := make([]Stats, len(f.cells))
	for i, c := range f.cells {
		listed, avoided := c.balancer.ServerCounts(now)
		out[i] = Stats{Name: c.name, Connections: c.open, Guests: c.guests, Hosts: listed, UsableHosts: listed - avoided,
			PendingMoves: pending[c], Counts: c.counts}
	}
	return out
}

// pendingMoves counts, for each cell, the connections that a move will take to another cell.
func (f *Fleet) pendingMoves() map[*cell]int {
	pending := map[*cell]int{}
	for i := range f.plan.Moves {
		m := &f.plan.Moves[i]
		source, target := f.cellNamed(m.From), f.cellNamed(m.To)
		if m.ReturnStart > 0 {
			source, target = target, source
		}
		if source == target {
			continue
		}
		for _, r := range f.carrierConnections[m.Carrier] {
			if f.currentCell(r) == source && !r.moveSent && r.overflowedFrom == nil {
				pending[source]++
			}
		}
	}
	return pending
}
