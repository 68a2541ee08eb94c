package drainsearch

import (
	"time"

	"tealtiller/internal/discovery"
	"tealtiller/policy"
)

// Dial opens a connection to discovery.
func (b *balancer) Dial(_ time.Duration, connection int, _ string, limit time.Duration) {
	l := &link{balancer: b, process: b.process, number: connection}
	b.links[connection] = l
	b.scheduleExternal(0, func() {
		if b.inUse(l) {
			b.world.service.connect(l, limit)
		}
	})
}

// Send writes a call.
func (b *balancer) Send(connection int, request []byte) {
	l, text := b.links[connection], string(request)
	b.scheduleExternal(b.world.options.LateCalls+b.world.script.Latency, func() {
		if b.inUse(l) && !l.closed {
			b.world.service.receive(l, text)
		}
	})
}

// scheduleExternal schedules what the current event causes outside the process, once the process is past a hold. It is
// dropped if the process has ended by then.
func (b *balancer) scheduleExternal(after time.Duration, action func()) {
	process := b.process
	b.world.at(b.writeTime+after, func() {
		if b.process == process {
			action()
		}
	})
}

// Drop closes a connection.
func (b *balancer) Drop(connection int) {
	l := b.links[connection]
	if c := b.world.service.calls[l]; c != nil {
		c.audited.Failed(b.world.now)
	}
	delete(b.world.service.calls, l)
	delete(b.links, connection)
}

// inUse reports whether a connection is in use.
func (b *balancer) inUse(l *link) bool { return b.links[l.number] == l }

// observer receives the events of the list watcher.
type observer struct{ *balancer }

// CallStarted does nothing; the service reports calls to the audit.
func (o observer) CallStarted(discovery.CallStart) {}

// CallResent does nothing.
func (o observer) CallResent() {}

// CallFailed adds the failure to the explanation of the run.
func (o observer) CallFailed(_ time.Duration, f discovery.CallFailure) {
	o.world.explain("balancer %d: %v", o.number, f.Err)
}

// WatchStopped reports the failed watch to the request table.
func (o observer) WatchStopped(now time.Duration) {
	o.table.UpdateMembers(now, policy.WatchFailed, nil)
}

// LeaseChanged passes the lease to the request table.
func (o observer) LeaseChanged(now, until time.Duration, cause discovery.LeaseCause) {
	o.world.explain("balancer %d: lease until %.3f: %s", o.number, (until - start).Seconds(), cause)
	o.table.SetLease(now, until)
}

// ListReceived passes a list to the request table.
func (o observer) ListReceived(now time.Duration, list *discovery.List) {
	kind := policy.Delta
	if list.Complete {
		kind = policy.Full
	}
	o.updateMembers(now, kind, list)
}

func (b *balancer) updateMembers(now time.Duration, kind policy.MembersKind, list *discovery.List) {
	for _, m := range list.Members {
		b.knownHosts[m.ID] = true
	}
	b.table.UpdateMembers(now, kind, list.Servers())
}
