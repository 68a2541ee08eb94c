package net

import (
	"fmt"
	"time"

	"tealtiller/internal/request"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// requestIO carries out the actions of requests on their sockets, as request.Transport describes them. The owner of a
// request is the number of its downstream.
type requestIO struct{ node *Node }

var _ request.Transport = requestIO{}

func (r requestIO) Begin(owner slot.ID, server string, until time.Duration) error {
	d, ok := r.node.downstreams.Get(owner)
	if !ok {
		return fmt.Errorf("client connection %d is gone", owner)
	}
	return r.node.beginAttempt(d, server, until)
}

func (r requestIO) Abandon(owner slot.ID) (sent bool) {
	d, ok := r.node.downstreams.Get(owner)
	if !ok || d.upstream == nil {
		return false
	}
	u := d.upstream
	u.traceAttempt("attempt-abandoned", "sent", u.sent)
	u.abort(false)
	return u.sent
}

func (r requestIO) Busy(owner slot.ID, retryAfter time.Duration, why policy.Reason) {
	r.node.counters.Add("operations answered: busy")
	if d, ok := r.node.downstreams.Get(owner); ok {
		d.traceRefusal(why.String(), retryAfter)
		d.answerBusy(r.node.now(), retryAfter)
	}
}

func (r requestIO) Failed(owner slot.ID) {
	r.node.counters.Add("operations answered: failed")
	if d, ok := r.node.downstreams.Get(owner); ok {
		d.sendLastLine(r.node.now(), "ERR\r\n")
	}
}

func (r requestIO) Move(owner slot.ID) {
	if d, ok := r.node.downstreams.Get(owner); ok && d.upstream != nil {
		u := d.upstream
		u.traceAttempt("moved")
		d.sendMove(r.node.now())
		u.abort(false)
	}
}

func (r requestIO) Probe(server string) {
	n := r.node
	n.probeHost(server, n.delays.host(server), n.now())
}

func (r requestIO) Watch(on bool) { r.node.watch.watcher.Watch(r.node.now(), on) }

func (r requestIO) Log(text string) { r.node.log.Info("decision", "text", text) }
