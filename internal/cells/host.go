package cells

import (
	"time"

	"tealtiller/policy"
)

// A cell is the policy.Host of its module: it keeps the Fleet's books and passes the action on.

// Send starts an attempt.
func (c *cell) Send(request, server string, timeout time.Duration) {
	if e := c.fleet.entries[request]; e != nil {
		e.out, e.server = true, server
		e.attempts++
	}
	c.fleet.host.Send(request, server, timeout)
}

// Refuse is a final answer.
func (c *cell) Refuse(request string, retryAfter time.Duration, why policy.Reason) {
	c.count.RefusedByPolicy++
	c.fleet.untrack(request)
	c.fleet.host.Refuse(request, retryAfter, why)
}

// Fail is a final answer.
func (c *cell) Fail(request string) {
	c.fleet.untrack(request)
	c.fleet.host.Fail(request)
}

// Move sends a client away.
func (c *cell) Move(request string) {
	if e := c.fleet.entries[request]; e != nil {
		e.told = true
	}
	c.fleet.host.Move(request)
}

// NotifySiblings tells all siblings of a slow endpoint.
func (c *cell) NotifySiblings(server uint32, delay time.Duration) {
	c.fleet.host.NotifySiblings(server, delay)
}

// Probe asks an endpoint for a report.
func (c *cell) Probe(server string) { c.fleet.host.Probe(server) }

// Wake asks to be woken, under a name of this cell's own.
func (c *cell) Wake(at time.Duration, name int64) { c.fleet.host.Wake(at, c.number*slots+name) }

// Watch asks for the list; only the root does.
func (c *cell) Watch(on bool) { c.fleet.host.Watch(on) }

// Log adds a line to the report.
func (c *cell) Log(text string) {
	if c.name != "" {
		text = "cell " + c.name + ": " + text
	}
	c.fleet.host.Log(text)
}
