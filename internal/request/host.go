package request

import (
	"time"

	"tealtiller/policy"
)

// moduleHost is the policy.Host through which the module acts on a Table. The module is not re-entrant, so these
// methods never call it directly: outcomes are queued in pendingOutcomes.
type moduleHost struct{ *Table }

func (h moduleHost) Send(id, server string, timeout time.Duration) {
	req := h.findByModuleID(id)
	if req == nil || req.attemptOpen || req.answered {
		// Sending now would put two attempts in flight for one request. The module still expects an outcome.
		h.pendingOutcomes = append(h.pendingOutcomes, func(now time.Duration) {
			h.module.Outcome(now, id, policy.NotSent, req == nil || req.answered)
		})
		return
	}
	h.beginAttempt(req, server, timeout)
}

func (h moduleHost) Refuse(id string, retryAfter time.Duration, why policy.Reason) {
	h.finish(id, rejected, func(req *request) { h.transport.Busy(req.owner, retryAfter, why) })
}

func (h moduleHost) Fail(id string) {
	h.finish(id, failed, func(req *request) { h.transport.Failed(req.owner) })
}

// finish records and sends the final answer of a request, unless it has one.
func (h moduleHost) finish(id string, kind outcome, send func(*request)) {
	if req := h.findByModuleID(id); req != nil && !req.answered {
		h.recordAnswer(req, kind)
		send(req)
		if !req.attemptOpen {
			h.remove(req)
		}
	}
}

func (h moduleHost) Move(id string) {
	req := h.findByModuleID(id)
	if req == nil || !req.established || !req.attemptOpen {
		return
	}
	h.transport.Move(req.owner)
	h.pendingOutcomes = append(h.pendingOutcomes, func(time.Duration) { h.endAttempt(req, policy.Cancelled) })
}

// NotifySiblings does nothing: these balancers have no connections to each other.
func (h moduleHost) NotifySiblings(uint32, time.Duration) {}

// Probe requests a load report from a server.
func (h moduleHost) Probe(server string) { h.transport.Probe(server) }

func (h moduleHost) Wake(at time.Duration, id int64) {
	h.deadlines.Set(at, func(now time.Duration) {
		h.now = now
		h.module.Wake(now, id)
		h.deliverOutcomes()
	})
}

func (h moduleHost) Watch(on bool) { h.transport.Watch(on) }

func (h moduleHost) Log(text string) { h.transport.Log(text) }
