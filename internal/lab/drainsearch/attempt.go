package drainsearch

import (
	"time"

	"tealtiller/internal/request"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// client is a client with one request.
type client struct {
	Request
	owner    slot.ID
	id       slot.ID // of the request
	attempts int
	attempt  *attempt // in progress; nil if none
	left     bool
	done     bool
}

// attempt is one connection to a host on behalf of a request.
type attempt struct {
	client   *client
	host     string
	deadline time.Duration
	sent     bool
	finished bool
}

var _ request.Transport = (*balancer)(nil)

// startRequest lets a client arrive with a request.
func (b *balancer) startRequest(r Request) {
	if !b.running {
		return
	}
	b.lastOwner++
	c := &client{Request: r, owner: b.lastOwner}
	b.schedule(b.world.now, func(now time.Duration) {
		b.clients[c.owner] = c
		c.id = b.table.Submit(now, c.owner, policy.Request{Class: r.Class, Key: r.Key, HasKey: true, TTL: r.TTL, MidFlow: r.MidFlow})
	})
	if r.Leaves > 0 {
		b.schedule(b.world.now+r.Leaves, func(now time.Duration) {
			if c.left = true; !c.done {
				b.table.ClientLeft(now, c.id)
			}
		})
	}
}

// Begin connects to a host.
func (b *balancer) Begin(owner slot.ID, host string, deadline time.Duration) error {
	c := b.clients[owner]
	if !b.knownHosts[host] {
		return errNoAddress
	}
	a := &attempt{client: c, host: host, deadline: deadline}
	c.attempt = a
	number := min(c.attempts, len(c.Connect)-1)
	c.attempts++
	connectTime, limit := c.Connect[number], min(b.world.script.Connect, deadline-b.world.now)
	if connectTime > limit {
		b.scheduleForAttempt(a, limit, func(time.Duration) { b.attemptEnded(a, policy.ConnectFailed) })
		return nil
	}
	b.scheduleForAttempt(a, connectTime, func(now time.Duration) { b.connected(now, a, c.Answers[number]) })
	return nil
}

// scheduleForAttempt schedules an event of an attempt, which is dropped if the attempt has ended by then.
func (b *balancer) scheduleForAttempt(a *attempt, after time.Duration, event func(now time.Duration)) {
	b.schedule(b.writeTime+after, func(now time.Duration) {
		if !a.finished {
			event(now)
		}
	})
}

// connected writes the first line, unless the last check before the write forbids it.
func (b *balancer) connected(now time.Duration, a *attempt, answer Answer) {
	result, ok := b.table.MayWrite(now, a.client.id, a.deadline, func() bool { return a.client.left })
	if !ok && !b.world.options.SkipLastCheck {
		b.attemptEnded(a, result)
		return
	}
	a.sent = true
	b.sent++
	b.world.explain("balancer %d sends to %s, written at %.3f (mid-flow: %v)",
		b.number, a.host, (b.writeTime - start).Seconds(), a.client.MidFlow)
	if violation := b.world.audit.FirstByteSent(b.number, a.host, b.writeTime); violation != nil && b.world.violation == nil {
		b.world.violation, b.world.stopped = violation, true
		b.world.explain("BROKEN: %v", violation)
	}
	switch answer {
	case AnswerUp:
		b.scheduleForAttempt(a, 2*ms, func(now time.Duration) { b.established(now, a) })
	case AnswerErr:
		b.scheduleForAttempt(a, 2*ms, func(time.Duration) { b.attemptEnded(a, policy.Error) })
	case AnswerBusy:
		b.scheduleForAttempt(a, 2*ms, func(time.Duration) { b.attemptEnded(a, policy.Rejected) })
	case AnswerReset:
		b.scheduleForAttempt(a, 2*ms, func(time.Duration) { b.attemptEnded(a, policy.Reset) })
	}
}

// connectionLifetime is how long an established connection lasts.
const connectionLifetime = 2 * time.Second

func (b *balancer) established(now time.Duration, a *attempt) {
	a.client.done = true
	b.table.Established(now, a.client.id)
	b.scheduleForAttempt(a, connectionLifetime, func(time.Duration) { b.attemptEnded(a, policy.OK) })
}

func (b *balancer) attemptEnded(a *attempt, result policy.Result) {
	a.finished = true
	a.client.attempt = nil
	b.table.AttemptEnded(b.world.now, a.client.id, result)
}

// Abandon ends the attempt in progress and reports whether its first line was sent.
func (b *balancer) Abandon(owner slot.ID) (sent bool) {
	a := b.clients[owner].attempt
	if a == nil {
		return false
	}
	a.finished = true
	b.clients[owner].attempt = nil
	return a.sent
}

// Busy is called with the final answer of a request.
func (b *balancer) Busy(owner slot.ID, _ time.Duration, _ policy.Reason) {
	b.clients[owner].done = true
}

// Failed is called with the final answer of a request.
func (b *balancer) Failed(owner slot.ID) { b.clients[owner].done = true }

// Move ends an established connection.
func (b *balancer) Move(owner slot.ID) { b.Abandon(owner) }

// Probe does nothing, since probes are not requests.
func (b *balancer) Probe(string) {}

// Watch turns the watch on or off.
func (b *balancer) Watch(on bool) { b.watcher.Watch(b.world.now, on) }

// Log discards the line.
func (b *balancer) Log(string) {}
