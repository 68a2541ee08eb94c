package cells

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// slots is how many timer names a module has room for; the Fleet's own are below all of them.
const slots, timerMoves, timerDeal = 16, -1, -2

// moveEvery is how often connections are looked at that are to follow their flight. They follow only after clocks, the
// most by which balancers' clocks may differ. Danger: a client that was told by one balancer would come again to
// another one for which its flight has not crossed yet, and be told a second time.
const moveEvery, clocks = 100 * time.Millisecond, 500 * time.Millisecond

// mostCatchUp is the longest time whose moves may be made up for at once.
const mostCatchUp = time.Second

// Wake does what has fallen due.
func (f *Fleet) Wake(now time.Duration, name int64) {
	switch name {
	case timerMoves:
		if f.tickAt > 0 && now >= f.tickAt { // else of a plan that is no longer in force
			f.tickAt = 0
			f.runMoves(now)
		}
	case timerDeal:
		if f.dealAt = 0; f.plan != nil {
			f.deal(now)
			f.countHosts()
		}
	default:
		if c := f.numbers[name/slots]; c != nil {
			c.module.Wake(now, name%slots)
		}
	}
}

// scheduleMoves asks to be woken for the moves at a time, but not before the first of them starts.
func (f *Fleet) scheduleMoves(now, at time.Duration) {
	if f.plan == nil || len(f.plan.Moves) == 0 {
		return
	}
	starts := slices.MinFunc(f.plan.Moves, func(a, b Move) int { return cmp.Compare(a.Start, b.Start) }).Start
	if at = max(at, now+f.set.Tick, starts); f.tickAt == 0 || at < f.tickAt {
		f.tickAt = at
		f.host.Wake(at, timerMoves)
	}
}

// runMoves sends away, at the pace of the plan, the connections in a cell that their flight has left, whole flights one
// after the other. It waits while the cell that they are to reach has no endpoint in service.
func (f *Fleet) runMoves(now time.Duration) {
	if f.plan == nil {
		return
	}
	elapsed := min(now-f.ticked, mostCatchUp)
	f.ticked = now
	for i := range f.plan.Moves {
		m := &f.plan.Moves[i]
		due := f.due(now, m)
		if len(due) == 0 {
			continue
		}
		slices.SortFunc(due, byCrossing)
		if m.returning(now) {
			slices.Reverse(due)
		}
		f.send(m, due, elapsed)
	}
	f.scheduleMoves(now, now+moveEvery)
}

// due is the connections that are to follow their flight in a move. What is established where its flight is to come
// stays, also early; so does what the flight keys of a cell keep.
func (f *Fleet) due(now time.Duration, m *Move) (due []*tracked) {
	from, to := f.named(m.From), f.named(m.To)
	for _, e := range f.movers[m.Carrier] {
		if e.told || e.from != nil {
			continue
		}
		at := f.where(e)
		home, _, since := f.plan.home(now, m.Carrier, e.q.Key)
		if now-since < clocks {
			continue
		}
		forward := at == from && home == m.To
		back := m.returning(now) && at == to && home == m.From
		if forward || back {
			due = append(due, e)
		}
	}
	return due
}

// byCrossing orders connections as their flights cross.
func byCrossing(a, b *tracked) int {
	return cmp.Or(cmp.Compare(CrossingPosition(a.q.Key), CrossingPosition(b.q.Key)), cmp.Compare(a.q.Key, b.q.Key), cmp.Compare(a.q.ID, b.q.ID))
}

// where is the cell in which a connection is established: its endpoint's, which may have changed since it was placed.
func (f *Fleet) where(e *tracked) *cell {
	if c := f.owners[e.server]; c != nil {
		return c
	}
	return e.cell
}

// send tells as many of the connections that are due to move as the pace allows.
func (f *Fleet) send(m *Move, due []*tracked, elapsed time.Duration) {
	target := f.named(m.To)
	if f.where(due[0]) == target {
		target = f.named(m.From)
	}
	if f.waits(m, target) {
		return
	}
	for _, e := range due[:f.allowed(m, len(due), elapsed)] {
		e.told = true
		e.cell.count.MovesSent++
		f.host.Move(e.q.ID)
	}
}

// waits tells whether a move has no endpoint to go to, and logs each change of that.
func (f *Fleet) waits(m *Move, target *cell) bool {
	if none := target.hosts == 0; none != f.paused[m.Carrier] {
		f.paused[m.Carrier] = none
		f.host.Log(fmt.Sprintf("cells: move of %s waits for a desk host in cell %s: %v", m.Carrier, target.name, none))
	}
	return f.paused[m.Carrier]
}

// allowed is how many of the connections that are due fit the pace of a move now: this balancer's part of it, with no
// more than two looks' worth saved up.
func (f *Fleet) allowed(m *Move, due int, elapsed time.Duration) int {
	if m.MaxPerSecond <= 0 {
		return due
	}
	pace := m.MaxPerSecond / float64(f.siblings())
	credit := min(f.credit[m.Carrier]+pace*elapsed.Seconds(), max(pace*moveEvery.Seconds()*2, 1))
	allowed := min(due, int(credit))
	f.credit[m.Carrier] = credit - float64(allowed)
	return allowed
}
