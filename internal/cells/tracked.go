package cells

import (
	"slices"
	"time"

	"tealtiller/policy"
)

// trackedRequest is a request, or the connection established for it, with the cell whose balancer handles it.
type trackedRequest struct {
	request        policy.Request
	cell           *cell
	overflowedFrom *cell // nil if the request did not overflow
	deadline       time.Duration
	attempts       int
	server         string // of the last attempt
	attemptOpen    bool   // an attempt is in flight, or its connection is established
	established    bool
	clientGone     bool
	misplaced      bool // mid-flow, and first tried outside its home cell
	moveSent       bool // the client got MOVE
	carrierIndex   int  // index in Fleet.carrierConnections of its carrier
}

// track adds a request to a cell; from is the cell that it overflowed from, or nil.
func (f *Fleet) track(q policy.Request, c, from *cell, now time.Duration) *trackedRequest {
	r := &trackedRequest{request: q, cell: c, overflowedFrom: from, deadline: now + q.TTL, attempts: q.PriorAttempts}
	f.requests[q.ID] = r
	c.open++
	if from != nil {
		c.guests++
	}
	return r
}

// untrack removes a request that has its final answer, or whose connection has ended.
func (f *Fleet) untrack(id string) {
	r := f.requests[id]
	if r == nil {
		return
	}
	f.markEnded(r)
	delete(f.requests, id)
	r.cell.open--
	if r.overflowedFrom != nil {
		r.cell.guests--
	}
	if r.cell.open == 0 && !slices.Contains(f.cells, r.cell) {
		f.removeUnusedCells()
	}
}

// markEstablished counts a connection as established.
func (f *Fleet) markEstablished(r *trackedRequest) {
	if r.established {
		return
	}
	r.established = true
	r.cell.established++
	at := f.flightConnections[r.request.Key]
	if at == nil {
		at = map[*cell]int{}
		f.flightConnections[r.request.Key] = at
	}
	at[r.cell]++
	r.carrierIndex = len(f.carrierConnections[r.request.Tenant])
	f.carrierConnections[r.request.Tenant] = append(f.carrierConnections[r.request.Tenant], r)
}

// markEnded undoes markEstablished; it does nothing if the connection was not established.
func (f *Fleet) markEnded(r *trackedRequest) {
	if !r.established {
		return
	}
	r.established = false
	r.cell.established--
	at := f.flightConnections[r.request.Key]
	if at[r.cell]--; at[r.cell] == 0 {
		if delete(at, r.cell); len(at) == 0 {
			delete(f.flightConnections, r.request.Key)
		}
	}
	f.removeFromCarrier(r)
}

// removeFromCarrier removes a connection from its carrier's list in constant time: the last one takes its index.
func (f *Fleet) removeFromCarrier(r *trackedRequest) {
	all := f.carrierConnections[r.request.Tenant]
	last := all[len(all)-1]
	all[r.carrierIndex], last.carrierIndex = last, r.carrierIndex
	all[len(all)-1] = nil
	if f.carrierConnections[r.request.Tenant] = all[:len(all)-1]; len(all) == 1 {
		delete(f.carrierConnections, r.request.Tenant)
	}
}

// Inherit adds a connection that was established before this process started, or by another process.
func (f *Fleet) Inherit(now time.Duration, q policy.Request, server string) {
	c := f.cellOfHost[server]
	if c == nil {
		c = f.root
	}
	r := f.track(q, c, nil, now)
	r.attempts, r.attemptOpen, r.server = 1, true, server
	f.markEstablished(r)
	c.balancer.Inherit(now, q, server)
}

// MayWrite reports whether the balancer that started an attempt still allows it to be written.
func (f *Fleet) MayWrite(now time.Duration, id string) bool {
	r := f.requests[id]
	return r != nil && r.attemptOpen && !r.clientGone && r.cell.balancer.MayWrite(now, id)
}

// ConnectionEstablished is called when an attempt has brought up its connection.
func (f *Fleet) ConnectionEstablished(now time.Duration, id string) {
	if r := f.requests[id]; r != nil && r.attemptOpen {
		f.markEstablished(r)
		r.cell.balancer.ConnectionEstablished(now, id)
	}
}

// Outcome reports how an attempt ended; over means that the request needs no further answer. A mid-flow request that
// was first tried outside its home cell continues in its home cell.
func (f *Fleet) Outcome(now time.Duration, id string, result policy.Result, over bool) {
	r := f.requests[id]
	if r == nil || !r.attemptOpen {
		return
	}
	r.attemptOpen = false
	f.markEnded(r)
	if r.misplaced && !over && !r.clientGone {
		f.retryInHomeCell(now, r, result)
		return
	}
	if over || r.clientGone {
		f.untrack(id)
	}
	r.cell.balancer.Outcome(now, id, result, over)
}

// retryInHomeCell moves a request from the cell where it was first tried to its home cell, keeping its attempt count.
// The request fails instead if the attempt may have run and must not be repeated at another host.
func (f *Fleet) retryInHomeCell(now time.Duration, r *trackedRequest, result policy.Result) {
	q := r.request
	q.PriorAttempts, q.TTL = r.attempts, r.deadline-now
	f.untrack(q.ID)
	r.cell.balancer.Outcome(now, q.ID, result, true)
	neverRan := result == policy.Rejected || result == policy.ConnectFailed || result == policy.NotSent
	if !neverRan && f.settings.Classes[q.Class].Effect != policy.Safe {
		f.host.Fail(q.ID)
		return
	}
	home := f.root
	if f.plan != nil {
		home = f.cellNamed(f.plan.HomeCell(now, q.Tenant, q.Key))
	}
	f.track(q, home, nil, now)
	home.balancer.Request(now, q)
}

// ClientGone is called when the client has left; an attempt in flight still gets its Outcome.
func (f *Fleet) ClientGone(now time.Duration, id string) {
	r := f.requests[id]
	if r == nil {
		return
	}
	r.clientGone = true
	if !r.attemptOpen {
		f.untrack(id)
	}
	r.cell.balancer.ClientGone(now, id)
}
