package net

import "time"

// trace logs events of single requests and hosts, for analysis over a whole fleet. At scale these lines cost more than
// the work they describe, so below the debug level they are not even formatted.
func (n *Node) trace(event string, fields ...any) {
	if n.tracing {
		n.log.Debug(event, fields...)
	}
}

// traceAttempt logs an event of this attempt, or of the connection that it established.
func (u *upstream) traceAttempt(event string, fields ...any) {
	if u.node.tracing {
		opening := u.downstream.opening
		attempt := []any{"host", u.server, "id", opening.ID, "key", u.node.placementKey(opening)}
		u.node.trace(event, append(attempt, fields...)...)
	}
}

// noDescriptors is the reason of refusals for want of file descriptors; all other reasons come from the decision
// module.
const noDescriptors = "no descriptors"

// traceRefusal logs a refused request with the reason.
func (d *downstream) traceRefusal(reason string, retryAfter time.Duration) {
	n, opening := d.node, d.opening
	if n.tracing {
		n.trace("refused", "id", opening.ID, "key", n.placementKey(opening), "class", opening.Class, "reason", reason,
			"back", retryAfter, "returned", opening.Reconnecting, "mid", opening.MidFlow)
	}
}
