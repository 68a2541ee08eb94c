package net

import (
	"fmt"
	"time"

	"tealtiller/internal/request"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// carrier carries out the actions of the requests; their owners are the numbers of downstream sockets.
type carrier struct{ node *Node }

var _ request.Transport = carrier{}

func (c carrier) Begin(owner slot.ID, server string, until time.Duration) error {
	d, ok := c.node.downstreams.Get(owner)
	if !ok {
		return fmt.Errorf("client connection %d is gone", owner)
	}
	return c.node.begin(d, server, until)
}

func (c carrier) Abandon(owner slot.ID) (sent bool) {
	d, ok := c.node.downstreams.Get(owner)
	if !ok || d.upstream == nil {
		return false
	}
	u := d.upstream
	u.traceAttempt("attempt-abandoned", "sent", u.sent)
	u.drop(false)
	return u.sent
}

func (c carrier) Busy(owner slot.ID, retryAfter time.Duration, why policy.Reason) {
	c.node.count.Add("operations answered: busy")
	if d, ok := c.node.downstreams.Get(owner); ok {
		d.traceRefusal(why.String(), retryAfter)
		d.busy(c.node.now(), retryAfter)
	}
}

func (c carrier) Failed(owner slot.ID) {
	c.node.count.Add("operations answered: failed")
	if d, ok := c.node.downstreams.Get(owner); ok {
		d.answer(c.node.now(), "ERR\r\n")
	}
}

func (c carrier) Move(owner slot.ID) {
	if d, ok := c.node.downstreams.Get(owner); ok && d.upstream != nil {
		u := d.upstream
		u.traceAttempt("moved")
		d.move(c.node.now())
		u.drop(false)
	}
}

func (c carrier) Ask(server string) {
	n := c.node
	n.ask(server, n.delays.of(server), n.now())
}

func (c carrier) Watch(on bool) { c.node.watch.watcher.Watch(c.node.now(), on) }

func (c carrier) Log(text string) { c.node.log.Info("decision", "text", text) }
