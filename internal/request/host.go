package request

import (
	"time"

	"tealtiller/policy"
)

// host carries out the module's actions. Its methods do not call the module.
type host struct{ *Table }

func (h host) Send(name, server string, timeout time.Duration) {
	req := h.find(name)
	if req == nil || req.out || req.answered {
		// Danger: two attempts in flight. The module is owed an outcome all the same.
		h.queue = append(h.queue, func(now time.Duration) {
			h.module.Outcome(now, name, policy.NotSent, req == nil || req.answered)
		})
		return
	}
	h.begin(req, server, timeout)
}

func (h host) Refuse(name string, retryAfter time.Duration, why policy.Reason) {
	h.answer(name, rejected, func(req *request) { h.carrier.Busy(req.owner, retryAfter, why) })
}

func (h host) Fail(name string) {
	h.answer(name, failed, func(req *request) { h.carrier.Failed(req.owner) })
}

func (h host) answer(name string, how final, say func(*request)) {
	if req := h.find(name); req != nil && !req.answered {
		h.answered(req, how)
		say(req)
		if !req.out {
			h.remove(req)
		}
	}
}

func (h host) Move(name string) {
	req := h.find(name)
	if req == nil || !req.stands || !req.out {
		return
	}
	h.carrier.Move(req.owner)
	h.queue = append(h.queue, func(time.Duration) { h.ended(req, policy.Cancelled) })
}

// NotifySiblings has nobody to tell: these balancers have no way to talk to each other.
func (h host) NotifySiblings(uint32, time.Duration) {}

// Probe has the carrier ask a server for a report.
func (h host) Probe(server string) { h.carrier.Ask(server) }

func (h host) Wake(at time.Duration, name int64) {
	h.deadlines.Set(at, func(now time.Duration) {
		h.now = now
		h.module.Wake(now, name)
		h.settle()
	})
}

func (h host) Watch(on bool) { h.carrier.Watch(on) }

func (h host) Log(text string) { h.carrier.Log(text) }
