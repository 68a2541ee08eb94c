package net

import (
	"fmt"
	"time"

	"tealtiller/internal/request"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// requestIO carries out the actions of requests on their sockets. The owner of a request is the number of its
// downstream.
type requestIO struct{ node *Node }

var _ request.Transport = requestIO{}

func (c requestIO) Begin(owner slot.ID, server string, until time.Duration) error {
	d, ok := c.node.downstreams.Get(owner)
	if !ok {
		return fmt.Errorf("client connection %d is gone", owner)
	}
	return c.node.beginAttempt(d, server, until)
}

func (c requestIO) Abandon(owner slot.ID) (sent bool) {
	d, ok := c.node.downstreams.Get(owner)
	if !ok || d.upstream == nil {
		return false
	}
	u := d.upstream
	u.traceAttempt("attempt-abandoned", "sent", u.sent)
	u.abort(false)
	return u.sent
}

func (c requestIO) Busy(owner slot.ID, retryAfter time.Duration, why policy.Reason) {
	c.node.counters.Add("operations answered: busy")
	if d, ok := c.node.downstreams.Get(owner); ok {
		d.traceRefusal(why.String(), retryAfter)
		d.answerBusy(c.node.now(), retryAfter)
	}
}

func (c requestIO) Failed(owner slot.ID) {
	c.node.counters.Add("operations answered: failed")
	if d, ok := c.node.downstreams.Get(owner); ok {
		d.sendLastLine(c.node.now(), "ERR\r\n")
	}
}

func (c requestIO) Move(owner slot.ID) {
	if d, ok := c.node.downstreams.Get(owner); ok && d.upstream != nil {
		u := d.upstream
		u.traceAttempt("moved")
		d.sendMove(c.node.now())
		u.abort(false)
	}
}

func (c requestIO) Ask(server string) {
	n := c.node
	n.probeHost(server, n.delays.host(server), n.now())
}

func (c requestIO) Watch(on bool) { c.node.watch.watcher.Watch(c.node.now(), on) }

func (c requestIO) Log(text string) { c.node.log.Info("decision", "text", text) }
