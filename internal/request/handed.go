package request

import (
	"time"

	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// SubmitMidFlow takes a connection that stands at a host already; its first attempt goes there.
func (t *Table) SubmitMidFlow(now time.Duration, owner slot.ID, q policy.Request, server string) slot.ID {
	req := t.add(owner, q)
	q.ID, t.now, req.handed = req.name, now, true
	t.module.Inherit(now, q, server)
	t.begin(req, server, q.TTL)
	t.settle()
	return req.id
}

// Inherit takes over a connection that stands, which another process of this balancer has brought up.
func (t *Table) Inherit(now time.Duration, owner slot.ID, q policy.Request, server string) slot.ID {
	req := t.add(owner, q)
	q.ID, t.now = req.name, now
	req.out, req.stands, req.answered = true, true, true // answered, and counted, there
	t.module.Inherit(now, q, server)
	t.settle()
	return req.id
}

// Release tells that another process of this balancer goes on with a connection that stands.
func (t *Table) Release(now time.Duration, id slot.ID) {
	if req, ok := t.requests.Get(id); ok && req.stands && req.out {
		t.now, req.out = now, false
		t.remove(req)
		t.module.Outcome(now, req.name, policy.Cancelled, true)
		t.settle()
	}
}

// StartAsSuccessor tells that this process takes over from another one of this balancer.
func (t *Table) StartAsSuccessor(now time.Duration) { t.module.TakeOver(now) }
