package policy

import "time"

// This file decides about requests while the list of servers may be out of date. Without it they could be
// sent to a server that the list still names but that has been draining for long.

// Lease sets until when the list may be used, and places the requests that were held without a lease.
func (b *Balancer) Lease(now, until time.Duration) {
	b.leaseUntil = until
	if !b.listExpired(now) {
		b.Wake(now, timerWaiting)
	}
}

// listExpired reports whether the list must not be used now.
func (b *Balancer) listExpired(now time.Duration) bool {
	return b.leaseUntil > 0 && now >= b.leaseUntil
}

// awaitList holds a request until the list may be used again, for at most half of the time to its deadline.
func (b *Balancer) awaitList(now time.Duration, r *request) {
	if now >= r.holdUntil {
		b.giveUp(now, r, never, ListExpired)
		return
	}
	b.hold(now, r, r.holdUntil)
}
