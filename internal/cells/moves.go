package cells

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// timersPerCell is the number of timer names reserved for each cell's balancer.
const timersPerCell = 16

// Names of the Fleet's own timers; they are negative so as not to collide with those of the cells.
const timerMoves, timerReassign = -1, -2

// moveInterval is the time between two checks for connections that are to follow their flight.
const moveInterval = 100 * time.Millisecond

// maxClockSkew is the largest difference between the balancers' clocks that moves allow for. Connections follow their
// flight only this long after it crossed. Without the delay, a client that gets MOVE from one balancer could reconnect
// to another, for which the flight has not crossed yet, and get MOVE a second time.
const maxClockSkew = 500 * time.Millisecond

// maxCatchUp bounds the time for which moves are caught up at once after a delay.
const maxCatchUp = time.Second

// Wake handles a timer that has expired.
func (f *Fleet) Wake(now time.Duration, name int64) {
	switch name {
	case timerMoves:
		if f.moveTickAt > 0 && now >= f.moveTickAt { // otherwise it is a timer of an earlier plan
			f.moveTickAt = 0
			f.runMoves(now)
		}
	case timerReassign:
		if f.reassignAt = 0; f.plan != nil {
			f.reassignHosts(now)
			f.countHostsInService()
		}
	default:
		if c := f.cellsByNumber[name/timersPerCell]; c != nil {
			c.balancer.Wake(now, name%timersPerCell)
		}
	}
}

// scheduleMoves sets the timer of runMoves to the given time, or to the start of the first move if that is later.
func (f *Fleet) scheduleMoves(now, at time.Duration) {
	if f.plan == nil || len(f.plan.Moves) == 0 {
		return
	}
	firstStart := slices.MinFunc(f.plan.Moves, func(a, b Move) int { return cmp.Compare(a.Start, b.Start) }).Start
	if at = max(at, now+f.settings.Tick, firstStart); f.moveTickAt == 0 || at < f.moveTickAt {
		f.moveTickAt = at
		f.host.Wake(at, timerMoves)
	}
}

// runMoves sends MOVE to connections in a cell that their flight has left, at the pace of the plan and flight by
// flight. It pauses while the target cell has no host in service.
func (f *Fleet) runMoves(now time.Duration) {
	if f.plan == nil {
		return
	}
	elapsed := min(now-f.lastMoveTick, maxCatchUp)
	f.lastMoveTick = now
	for i := range f.plan.Moves {
		m := &f.plan.Moves[i]
		due := f.connectionsDue(now, m)
		if len(due) == 0 {
			continue
		}
		slices.SortFunc(due, compareCrossing)
		if m.returning(now) {
			slices.Reverse(due)
		}
		f.sendMoves(m, due, elapsed)
	}
	f.scheduleMoves(now, now+moveInterval)
}

// connectionsDue returns the connections that are to follow their flight. Connections that are already in the flight's
// next cell stay, even before the flight crosses, and so do those of flights that a cell lists by key.
func (f *Fleet) connectionsDue(now time.Duration, m *Move) (due []*trackedRequest) {
	from, to := f.cellNamed(m.From), f.cellNamed(m.To)
	for _, r := range f.carrierConnections[m.Carrier] {
		if r.moveSent || r.overflowedFrom != nil {
			continue
		}
		at := f.currentCell(r)
		home, _, since := f.plan.resolveHome(now, m.Carrier, r.request.Key)
		if now-since < maxClockSkew {
			continue
		}
		forward := at == from && home == m.To
		back := m.returning(now) && at == to && home == m.From
		if forward || back {
			due = append(due, r)
		}
	}
	return due
}

// compareCrossing orders connections by the order in which their flights cross.
func compareCrossing(a, b *trackedRequest) int {
	return cmp.Or(cmp.Compare(CrossingPosition(a.request.Key), CrossingPosition(b.request.Key)),
		cmp.Compare(a.request.Key, b.request.Key), cmp.Compare(a.request.ID, b.request.ID))
}

// currentCell returns the cell that a connection is in: that of its host, which may have been reassigned since.
func (f *Fleet) currentCell(r *trackedRequest) *cell {
	if c := f.cellOfHost[r.server]; c != nil {
		return c
	}
	return r.cell
}

// sendMoves sends MOVE to as many of the due connections as the pace allows.
func (f *Fleet) sendMoves(m *Move, due []*trackedRequest, elapsed time.Duration) {
	target := f.cellNamed(m.To)
	if f.currentCell(due[0]) == target {
		target = f.cellNamed(m.From)
	}
	if f.checkPaused(m, target) {
		return
	}
	for _, r := range due[:f.takeMoveCredit(m, len(due), elapsed)] {
		r.moveSent = true
		r.cell.counts.MovesSent++
		f.host.Move(r.request.ID)
	}
}

// checkPaused reports whether a move is paused because its target has no host in service, and logs each change.
func (f *Fleet) checkPaused(m *Move, target *cell) bool {
	if paused := target.hostsInService == 0; paused != f.movePaused[m.Carrier] {
		f.movePaused[m.Carrier] = paused
		f.host.Log(fmt.Sprintf("cells: move of %s paused, no desk host in service in cell %s: %v", m.Carrier, target.name, paused))
	}
	return f.movePaused[m.Carrier]
}

// takeMoveCredit returns how many of the due connections this balancer's share of the move's pace allows now, and
// deducts them. Unused credit is kept for at most two intervals.
func (f *Fleet) takeMoveCredit(m *Move, due int, elapsed time.Duration) int {
	if m.MaxPerSecond <= 0 {
		return due
	}
	pace := m.MaxPerSecond / float64(f.siblings())
	credit := min(f.moveCredit[m.Carrier]+pace*elapsed.Seconds(), max(pace*moveInterval.Seconds()*2, 1))
	allowed := min(due, int(credit))
	f.moveCredit[m.Carrier] = credit - float64(allowed)
	return allowed
}
