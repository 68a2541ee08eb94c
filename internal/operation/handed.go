package operation

import (
	"time"

	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// Hand takes a connection that stands at a desk host already; its first route step goes there.
func (t *Table) Hand(now time.Duration, owner slot.ID, q policy.Request, server string) slot.ID {
	op := t.add(owner, q)
	q.ID, t.now, op.handed = op.name, now, true
	t.module.Open(now, q, server)
	t.begin(op, server, q.TTL)
	t.settle()
	return op.id
}

// Inherit takes over a connection that stands, which another process of this balancer has brought up.
func (t *Table) Inherit(now time.Duration, owner slot.ID, q policy.Request, server string) slot.ID {
	op := t.add(owner, q)
	q.ID, t.now = op.name, now
	op.out, op.stands, op.answered = true, true, true // answered, and counted, there
	t.module.Open(now, q, server)
	t.settle()
	return op.id
}

// Release tells that another process of this balancer goes on with a connection that stands.
func (t *Table) Release(now time.Duration, id slot.ID) {
	if op, ok := t.ops.Get(id); ok && op.stands && op.out {
		t.now, op.out = now, false
		t.remove(op)
		t.module.Outcome(now, op.name, policy.Cancelled, true)
		t.settle()
	}
}

// Succeed tells that this process takes over from another one of this balancer.
func (t *Table) Succeed(now time.Duration) { t.module.Succeed(now) }
