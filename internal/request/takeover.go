package request

import (
	"time"

	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// SubmitToHost adds a connection that is already established at a host; its only attempt goes to that host. It returns
// the id of the request.
func (t *Table) SubmitToHost(now time.Duration, owner slot.ID, incoming policy.Request, server string) slot.ID {
	req := t.add(owner, incoming)
	incoming.ID, t.now, req.midFlow = req.moduleID, now, true
	t.module.Inherit(now, incoming, server)
	t.beginAttempt(req, server, incoming.TTL)
	t.deliverOutcomes()
	return req.id
}

// Inherit takes over an established connection from another process of this balancer.
func (t *Table) Inherit(now time.Duration, owner slot.ID, incoming policy.Request, server string) slot.ID {
	req := t.add(owner, incoming)
	incoming.ID, t.now = req.moduleID, now
	req.attemptOpen, req.established, req.answered = true, true, true // the other process has answered and counted it
	t.module.Inherit(now, incoming, server)
	t.deliverOutcomes()
	return req.id
}

// Release removes an established connection that another process of this balancer has taken over.
func (t *Table) Release(now time.Duration, id slot.ID) {
	if req, ok := t.requests.Get(id); ok && req.established && req.attemptOpen {
		t.now, req.attemptOpen = now, false
		t.remove(req)
		t.module.Outcome(now, req.moduleID, policy.Cancelled, true)
		t.deliverOutcomes()
	}
}

// StartAsSuccessor notifies the module that this process takes over from another one of this balancer.
func (t *Table) StartAsSuccessor(now time.Duration) { t.module.TakeOver(now) }
