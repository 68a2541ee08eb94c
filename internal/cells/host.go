package cells

import (
	"time"

	"tealtiller/policy"
)

// A cell is the policy.Host of its balancer: it updates the Fleet's records and passes the action on to the Fleet's
// host.

// Send records and starts an attempt.
func (c *cell) Send(request, server string, timeout time.Duration) {
	if r := c.fleet.requests[request]; r != nil {
		r.attemptOpen, r.server = true, server
		r.attempts++
	}
	c.fleet.host.Send(request, server, timeout)
}

// Refuse stops tracking the request, as a refusal is a final answer.
func (c *cell) Refuse(request string, retryAfter time.Duration, why policy.Reason) {
	c.counts.RefusedByPolicy++
	c.fleet.untrack(request)
	c.fleet.host.Refuse(request, retryAfter, why)
}

// Fail stops tracking the request, as a failure is a final answer.
func (c *cell) Fail(request string) {
	c.fleet.untrack(request)
	c.fleet.host.Fail(request)
}

// Move sends a MOVE line, and excludes the connection from the plan's moves: a client gets only one.
func (c *cell) Move(request string) {
	if r := c.fleet.requests[request]; r != nil {
		r.moveSent = true
	}
	c.fleet.host.Move(request)
}

// NotifySiblings reports a server's message delay to all siblings.
func (c *cell) NotifySiblings(server uint32, delay time.Duration) {
	c.fleet.host.NotifySiblings(server, delay)
}

// Probe requests a load report from a server.
func (c *cell) Probe(server string) { c.fleet.host.Probe(server) }

// Wake sets a timer, under a name that is unique to this cell.
func (c *cell) Wake(at time.Duration, name int64) { c.fleet.host.Wake(at, c.number*timersPerCell+name) }

// Watch starts or stops watching the host list; only the root's balancer calls it.
func (c *cell) Watch(on bool) { c.fleet.host.Watch(on) }

// Log writes a log line, prefixed with the name of the cell.
func (c *cell) Log(text string) {
	if c.name != "" {
		text = "cell " + c.name + ": " + text
	}
	c.fleet.host.Log(text)
}
