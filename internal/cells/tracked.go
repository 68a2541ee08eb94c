package cells

import (
	"slices"
	"time"

	"tealtiller/policy"
)

// tracked is a request, or the connection that came of it, and the cell whose module has it.
type tracked struct {
	q         policy.Request
	cell      *cell
	from      *cell // the cell that it overflowed from
	deadline  time.Duration
	attempts  int
	server    string // of the last attempt
	out       bool   // an attempt, or the connection that it brought up
	stands    bool   // the connection is established
	gone      bool
	misplaced bool // mid-flow, tried first in a cell that is not its home
	told      bool // to move
	index     int  // in movers
}

// track puts a request into a cell; from is the cell that it overflowed from, or nil.
func (f *Fleet) track(q policy.Request, c, from *cell, now time.Duration) *tracked {
	e := &tracked{q: q, cell: c, from: from, deadline: now + q.TTL, attempts: q.PriorAttempts}
	f.entries[q.ID] = e
	c.open++
	if from != nil {
		c.guests++
	}
	return e
}

// untrack forgets a request whose connection has ended or that has its final answer.
func (f *Fleet) untrack(id string) {
	e := f.entries[id]
	if e == nil {
		return
	}
	f.ended(e)
	delete(f.entries, id)
	e.cell.open--
	if e.from != nil {
		e.cell.guests--
	}
	if e.cell.open == 0 && !slices.Contains(f.cells, e.cell) {
		f.retire()
	}
}

// established counts a connection that has come up.
func (f *Fleet) established(e *tracked) {
	if e.stands {
		return
	}
	e.stands = true
	e.cell.stands++
	at := f.flights[e.q.Key]
	if at == nil {
		at = map[*cell]int{}
		f.flights[e.q.Key] = at
	}
	at[e.cell]++
	e.index = len(f.movers[e.q.Tenant])
	f.movers[e.q.Tenant] = append(f.movers[e.q.Tenant], e)
}

// ended counts off a connection that was established, if it was.
func (f *Fleet) ended(e *tracked) {
	if !e.stands {
		return
	}
	e.stands = false
	e.cell.stands--
	at := f.flights[e.q.Key]
	if at[e.cell]--; at[e.cell] == 0 {
		if delete(at, e.cell); len(at) == 0 {
			delete(f.flights, e.q.Key)
		}
	}
	f.forgetMover(e)
}

// forgetMover takes a connection off those of its carrier; the last one takes its place.
func (f *Fleet) forgetMover(e *tracked) {
	all := f.movers[e.q.Tenant]
	last := all[len(all)-1]
	all[e.index], last.index = last, e.index
	all[len(all)-1] = nil
	if f.movers[e.q.Tenant] = all[:len(all)-1]; len(all) == 1 {
		delete(f.movers, e.q.Tenant)
	}
}

// Inherit counts a connection that was established when this process started, or that another process brought up.
func (f *Fleet) Inherit(now time.Duration, q policy.Request, server string) {
	c := f.owners[server]
	if c == nil {
		c = f.root
	}
	e := f.track(q, c, nil, now)
	e.attempts, e.out, e.server = 1, true, server
	f.established(e)
	c.module.Inherit(now, q, server)
}

// MayWrite tells whether an attempt may be written now, as the module that sent it sees it.
func (f *Fleet) MayWrite(now time.Duration, id string) bool {
	e := f.entries[id]
	return e != nil && e.out && !e.gone && e.cell.module.MayWrite(now, id)
}

// ConnectionEstablished tells that a connection is established.
func (f *Fleet) ConnectionEstablished(now time.Duration, id string) {
	if e := f.entries[id]; e != nil && e.out {
		f.established(e)
		e.cell.module.ConnectionEstablished(now, id)
	}
}

// Outcome tells how an attempt ended; over, that nothing more is owed. A mid-flow arrival that was not held where it
// was tried first goes on in its home cell.
func (f *Fleet) Outcome(now time.Duration, id string, result policy.Result, over bool) {
	e := f.entries[id]
	if e == nil || !e.out {
		return
	}
	e.out = false
	f.ended(e)
	if e.misplaced && !over && !e.gone {
		f.goHome(now, e, result)
		return
	}
	if over || e.gone {
		f.untrack(id)
	}
	e.cell.module.Outcome(now, id, result, over)
}

// goHome takes a request from the cell where it was tried first to its home cell, with the attempts that it has left;
// but where the attempt may have run and must not be repeated elsewhere, it has failed.
func (f *Fleet) goHome(now time.Duration, e *tracked, result policy.Result) {
	q := e.q
	q.PriorAttempts, q.TTL = e.attempts, e.deadline-now
	f.untrack(q.ID)
	e.cell.module.Outcome(now, q.ID, result, true)
	neverRan := result == policy.Rejected || result == policy.ConnectFailed || result == policy.NotSent
	if !neverRan && f.set.Classes[q.Class].Effect != policy.Safe {
		f.host.Fail(q.ID)
		return
	}
	home := f.root
	if f.plan != nil {
		home = f.named(f.plan.HomeCell(now, q.Tenant, q.Key))
	}
	f.track(q, home, nil, now)
	home.module.Request(now, q)
}

// ClientGone tells that the client left; an attempt that is out still gets its outcome.
func (f *Fleet) ClientGone(now time.Duration, id string) {
	e := f.entries[id]
	if e == nil {
		return
	}
	e.gone = true
	if !e.out {
		f.untrack(id)
	}
	e.cell.module.ClientGone(now, id)
}
