package drainsearch

import (
	"time"

	"tealtiller/internal/discovery"
	"tealtiller/policy"
)

// Dial makes a connection to discovery.
func (b *balancer) Dial(_ time.Duration, connection int, _ string, limit time.Duration) {
	l := &link{balancer: b, process: b.process, number: connection}
	b.links[connection] = l
	b.afterEffect(0, func() {
		if b.uses(l) {
			b.world.service.connect(l, limit)
		}
	})
}

// Send writes a call.
func (b *balancer) Send(connection int, request []byte) {
	l, text := b.links[connection], string(request)
	b.afterEffect(b.world.options.LateCalls+b.world.script.Latency, func() {
		if b.uses(l) && !l.closed {
			b.world.service.receive(l, text)
		}
	})
}

// afterEffect does what the event under way sets off outside, once the process is past a hold.
func (b *balancer) afterEffect(after time.Duration, do func()) {
	process := b.process
	b.world.at(b.effect+after, func() {
		if b.process == process {
			do()
		}
	})
}

// Drop leaves a connection.
func (b *balancer) Drop(connection int) {
	l := b.links[connection]
	if c := b.world.service.calls[l]; c != nil {
		c.seen.Failed(b.world.now)
	}
	delete(b.world.service.calls, l)
	delete(b.links, connection)
}

// uses tells whether a connection is one of those in use.
func (b *balancer) uses(l *link) bool { return b.links[l.number] == l }

// observer hears of the calls of a balancer.
type observer struct{ *balancer }

// CallStarted does nothing; the service tells the audit of calls.
func (o observer) CallStarted(discovery.CallStart) {}

// CallResent does nothing.
func (o observer) CallResent() {}

// CallFailed tells who looks at a script.
func (o observer) CallFailed(_ time.Duration, f discovery.CallFailure) {
	o.world.explain("balancer %d: %v", o.number, f.Err)
}

// WatchStopped tells the module.
func (o observer) WatchStopped(now time.Duration) {
	o.table.UpdateMembers(now, policy.WatchFailed, nil)
}

// LeaseChanged tells the module.
func (o observer) LeaseChanged(now, until time.Duration) { o.table.SetLease(now, until) }

// ListReceived hands a list on.
func (o observer) ListReceived(now time.Duration, list *discovery.List) {
	kind := policy.Delta
	if list.Complete {
		kind = policy.Full
	}
	o.members(now, kind, list)
}

func (b *balancer) members(now time.Duration, kind policy.MembersKind, list *discovery.List) {
	for _, m := range list.Members {
		b.listed[m.ID] = true
	}
	b.table.UpdateMembers(now, kind, list.Servers())
}
