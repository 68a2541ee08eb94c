package net

import "time"

// trace logs what happens to single requests and hosts, for those who count over a whole fleet. Danger: at
// size its lines cost more than the work that they tell of, so without the debug level nothing is even formed.
func (n *Node) trace(event string, fields ...any) {
	if n.tracing {
		n.log.Debug(event, fields...)
	}
}

// traceAttempt logs an event of this attempt, or of the connection that it brought up.
func (u *upstream) traceAttempt(event string, fields ...any) {
	if u.node.tracing {
		opening := u.downstream.opening
		attempt := []any{"host", u.server, "id", opening.ID, "key", u.node.groupKey(opening)}
		u.node.trace(event, append(attempt, fields...)...)
	}
}

// noDescriptors is the reason of refusals for want of file descriptors; the others are the decision code's.
const noDescriptors = "no descriptors"

// traceRefusal logs that a request is refused, and why.
func (d *downstream) traceRefusal(reason string, retryAfter time.Duration) {
	n, opening := d.node, d.opening
	if n.tracing {
		n.trace("refused", "id", opening.ID, "key", n.groupKey(opening), "class", opening.Class, "reason", reason,
			"back", retryAfter, "returned", opening.Returned, "mid", opening.MidFlow)
	}
}
