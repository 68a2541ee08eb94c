package operation

import (
	"time"

	"tealtiller/policy"
)

// host carries out the module's actions. Its methods do not call the module.
type host struct{ *Table }

func (h host) Send(request, server string, timeout time.Duration) {
	op := h.find(request)
	if op == nil || op.out || op.answered {
		// Danger: two attempts in flight. The module is owed an outcome all the same.
		h.queue = append(h.queue, func(now time.Duration) {
			h.module.Outcome(now, request, policy.Moot, op == nil || op.answered)
		})
		return
	}
	h.begin(op, server, timeout)
}

func (h host) Refuse(request string, retryAfter time.Duration) {
	h.answer(request, rejected, func(op *operation) { h.carrier.Busy(op.owner, retryAfter) })
}

func (h host) Fail(request string) {
	h.answer(request, failed, func(op *operation) { h.carrier.Failed(op.owner) })
}

func (h host) answer(request string, how final, say func(*operation)) {
	if op := h.find(request); op != nil && !op.answered {
		h.answered(op, how)
		say(op)
		if !op.out {
			h.remove(op)
		}
	}
}

func (h host) Move(request string) {
	op := h.find(request)
	if op == nil || !op.stands || !op.out {
		return
	}
	h.carrier.Move(op.owner)
	h.queue = append(h.queue, func(time.Duration) { h.ended(op, policy.Cancelled) })
}

// Tell has nobody to tell: these balancers have no way to talk to each other.
func (h host) Tell(uint32, time.Duration) {}

// Ask has the carrier ask a server for a report.
func (h host) Ask(server string) { h.carrier.Ask(server) }

func (h host) Wake(at time.Duration, name int64) {
	h.deadlines.Set(at, func(now time.Duration) {
		h.now = now
		h.module.Wake(now, name)
		h.settle()
	})
}

func (h host) Watch(on bool) { h.carrier.Watch(on) }

func (h host) Log(text string) { h.carrier.Log(text) }
