package drainsearch

import (
	"time"

	"tealtiller/internal/request"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// client is a client and its request.
type client struct {
	Request
	owner    slot.ID
	id       slot.ID // of its request
	attempts int
	attempt  *attempt // under way
	left     bool
	done     bool
}

// attempt is one connection to a host for a request.
type attempt struct {
	client *client
	host   string
	until  time.Duration
	sent   bool
	over   bool
}

var _ request.Transport = (*balancer)(nil)

// request has a client come.
func (b *balancer) request(r Request) {
	if !b.running {
		return
	}
	b.owners++
	c := &client{Request: r, owner: b.owners}
	b.later(b.world.now, func(now time.Duration) {
		b.clients[c.owner] = c
		c.id = b.table.Submit(now, c.owner, policy.Request{Class: r.Class, Key: r.Key, HasKey: true, TTL: r.TTL, MidFlow: r.MidFlow})
	})
	if r.Leaves > 0 {
		b.later(b.world.now+r.Leaves, func(now time.Duration) {
			if c.left = true; !c.done {
				b.table.ClientLeft(now, c.id)
			}
		})
	}
}

// Begin dials a host.
func (b *balancer) Begin(owner slot.ID, host string, until time.Duration) error {
	c := b.clients[owner]
	if !b.listed[host] {
		return errNoAddress
	}
	a := &attempt{client: c, host: host, until: until}
	c.attempt = a
	number := min(c.attempts, len(c.Connect)-1)
	c.attempts++
	takes, limit := c.Connect[number], min(b.world.script.Connect, until-b.world.now)
	if takes > limit {
		b.afterAttempt(a, limit, func(time.Duration) { b.ended(a, policy.ConnectFailed) })
		return nil
	}
	b.afterAttempt(a, takes, func(now time.Duration) { b.connected(now, a, c.Answers[number]) })
	return nil
}

// afterAttempt has the process hear of an attempt after a time, if that is not over by then.
func (b *balancer) afterAttempt(a *attempt, after time.Duration, event func(now time.Duration)) {
	b.later(b.effect+after, func(now time.Duration) {
		if !a.over {
			event(now)
		}
	})
}

// connected writes the first line, if the gate lets it.
func (b *balancer) connected(now time.Duration, a *attempt, answer Answer) {
	result, ok := b.table.MayWrite(now, a.client.id, a.until, func() bool { return a.client.left })
	if !ok && !b.world.options.NoGate {
		b.ended(a, result)
		return
	}
	a.sent = true
	b.sent++
	b.world.explain("balancer %d sends to %s, written at %.3f (mid-flow: %v)",
		b.number, a.host, (b.effect - start).Seconds(), a.client.MidFlow)
	if broken := b.world.audit.FirstByteSent(b.number, a.host, b.effect); broken != nil && b.world.broken == nil {
		b.world.broken, b.world.stopped = broken, true
		b.world.explain("BROKEN: %v", broken)
	}
	switch answer {
	case Up:
		b.afterAttempt(a, 2*ms, func(now time.Duration) { b.stands(now, a) })
	case Errs:
		b.afterAttempt(a, 2*ms, func(time.Duration) { b.ended(a, policy.Error) })
	case Busy:
		b.afterAttempt(a, 2*ms, func(time.Duration) { b.ended(a, policy.Rejected) })
	case Resets:
		b.afterAttempt(a, 2*ms, func(time.Duration) { b.ended(a, policy.Reset) })
	}
}

// lifetime is how long a connection stands.
const lifetime = 2 * time.Second

func (b *balancer) stands(now time.Duration, a *attempt) {
	a.client.done = true
	b.table.Established(now, a.client.id)
	b.afterAttempt(a, lifetime, func(time.Duration) { b.ended(a, policy.OK) })
}

func (b *balancer) ended(a *attempt, result policy.Result) {
	a.over = true
	a.client.attempt = nil
	b.table.AttemptEnded(b.world.now, a.client.id, result)
}

// Abandon ends the attempt that is out.
func (b *balancer) Abandon(owner slot.ID) (sent bool) {
	a := b.clients[owner].attempt
	if a == nil {
		return false
	}
	a.over = true
	b.clients[owner].attempt = nil
	return a.sent
}

// Busy is a final answer.
func (b *balancer) Busy(owner slot.ID, _ time.Duration, _ policy.Reason) {
	b.clients[owner].done = true
}

// Failed is a final answer.
func (b *balancer) Failed(owner slot.ID) { b.clients[owner].done = true }

// Move ends a standing connection.
func (b *balancer) Move(owner slot.ID) { b.Abandon(owner) }

// Probe does nothing: probes are no requests.
func (b *balancer) Probe(string) {}

// Watch turns the watch on or off.
func (b *balancer) Watch(on bool) { b.watcher.Watch(b.world.now, on) }

// Log does nothing.
func (b *balancer) Log(string) {}
