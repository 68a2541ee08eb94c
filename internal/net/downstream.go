package net

import (
	"errors"
	"fmt"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/deadline"
	"tealtiller/internal/line"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// downstream is the client's side of a request.
type downstream struct {
	node *Node
	id   slot.ID
	inbound
	request      slot.ID
	opening      line.OpenRequest
	openReceived bool // OPEN was received: the lines after it wait for UP
	upstream     *upstream
	enrolling    bool          // inherited, and its socket is not on the loop yet
	lastLine     string        // last line to write once the socket is on the loop
	closing      bool          // the last line was written; further input is discarded
	lingering    bool          // sending has ended; waiting for the client to close
	halfClosed   *halfClosed   // set when the client has ended its sending only
	silentSince  time.Duration // start of the silence: connected, last answered, or last line written
	silentBefore time.Duration // silence in the process that passed the socket on
	silenceLimit *deadline.Deadline
}

func newDownstream(n *Node) *downstream {
	d := &downstream{node: n}
	d.id = n.downstreams.Add(d)
	return d
}

func (d *downstream) opened(now time.Duration, c gnet.Conn) gnet.Action {
	d.node.counters.Add("client connections accepted")
	d.conn = c
	_ = c.SetNoDelay(true) // a last line delayed by Nagle's algorithm could be lost with the connection
	if d.enrolling {       // its upstream socket follows
		d.enrolled(now)
		return gnet.None
	}
	d.silentSince = now - d.silentBefore
	if !d.node.leading && d.passOn(now) {
		return gnet.Close
	}
	d.conn = nil // keeps makeRoom from closing this connection
	enough := d.node.makeRoom(0)
	d.conn = c
	if !enough {
		d.node.counters.Add("client connections refused: too many")
		d.node.trace("client-refused", "reason", noDescriptors, "back", descriptorRetryAfter)
		d.writeLine(d.node.busyLine(descriptorRetryAfter))
		if d.closeSending(now); d.node.descriptorsLeft() < -maxBusyOverdraft {
			d.closeConn()
		}
		return gnet.None
	}
	d.limitSilence(now, d.node.commandTimeout-d.silentBefore, noRequestLine)
	d.traffic(now)
	return gnet.None
}

// maxBusyOverdraft is how many of the reserved descriptors may be occupied by clients that were refused for want of
// descriptors and have not read the answer yet.
const maxBusyOverdraft = 4

// maxCommandsAtOnce is how many commands a client may send before it has read the answers.
const maxCommandsAtOnce = 16

// traffic handles complete lines, up to the first one that has to wait.
func (d *downstream) traffic(now time.Duration) {
	commands := 0
	for d.conn != nil && d.buffered() > 0 {
		if d.closing {
			d.discard(-1)
			return
		}
		if d.openReceived {
			d.relay(now)
			return
		}
		buf := d.peek()
		text, err := line.Next(buf)
		if err != nil {
			d.rejectMalformed(now, err)
			return
		}
		if len(text) == 0 {
			return
		}
		if commands++; commands > maxCommandsAtOnce {
			d.rejectMalformed(now, errors.New("too many commands at once"))
			return
		}
		d.handleCommand(now, text)
		if d.conn != nil {
			d.discard(len(text))
		}
	}
}

// handleCommand answers a line that precedes OPEN, or OPEN itself.
func (d *downstream) handleCommand(now time.Duration, text []byte) {
	kind, _ := line.Parse(text)
	switch kind {
	case line.Ping, line.Stats:
		d.node.counters.Add("probes answered")
		switch {
		case d.node.draining, d.node.awaitsLease(now):
			d.writeLine("ERR\r\n")
		case kind == line.Ping:
			d.writeLine("PONG\r\n")
		default:
			d.writeLine(fmt.Sprintf("PONG inflight=%d\r\n", d.node.table.Len()))
		}
		d.limitSilence(now, d.node.commandTimeout, noRequestLine)
	case line.Open:
		opening, err := line.ParseOpenRequest(text)
		if err == nil {
			err = d.node.checkOpen(opening)
		}
		if err != nil {
			d.rejectMalformed(now, err)
			return
		}
		d.handleOpen(now, opening)
	default:
		d.rejectMalformed(now, fmt.Errorf("want OPEN, PING or STATS"))
	}
}

// checkOpen returns why a well-formed OPEN is refused, or nil.
func (n *Node) checkOpen(o line.OpenRequest) error {
	if _, known := n.cfg.Settings.Policy.Classes[o.Class]; !known {
		n.table.CountUnknownClass(o.Class)
		return fmt.Errorf("no class %q", o.Class)
	}
	if n.table.IsOpen(o.ID) {
		return fmt.Errorf("an operation of id %s is open", o.ID)
	}
	if !o.MidFlow && o.HostID == "" && n.table.MayHaveRun(o.ID) {
		return fmt.Errorf("an operation of id %s was sent before", o.ID)
	}
	return nil
}

// descriptorRetryAfter is the retry time for clients refused for want of descriptors: silent ones are closed by then.
const descriptorRetryAfter = 500 * time.Millisecond

// busyLine returns the refusal line, with the time after which to retry if the settings allow it.
func (n *Node) busyLine(retryAfter time.Duration) string {
	if retryAfter <= 0 || !n.cfg.Settings.SendRetryAfter {
		return "BUSY\r\n"
	}
	return fmt.Sprintf("BUSY %d\r\n", (retryAfter+time.Millisecond-1)/time.Millisecond)
}

func (d *downstream) answerBusy(now, retryAfter time.Duration) {
	d.sendLastLine(now, d.node.busyLine(retryAfter))
}

// answerMargin is subtracted from a client's timeout to allow for the delivery of the answer.
const answerMargin = 20 * time.Millisecond

func (d *downstream) handleOpen(now time.Duration, opening line.OpenRequest) {
	n := d.node
	d.opening, d.openReceived = opening, true
	n.lastOpenAt = now
	if n.pastDrainDeadline(opening) {
		n.counters.Add("operations refused: after the latest moment")
		n.table.CountRejected(opening.Class)
		d.answerBusy(now, 0)
		return
	}
	if !n.makeRoom(2) { // without descriptors the dial would fail and count against the desk host
		n.counters.Add("operations refused: no descriptors")
		n.table.CountRejected(opening.Class)
		d.traceRefusal(noDescriptors, descriptorRetryAfter)
		d.answerBusy(now, descriptorRetryAfter)
		return
	}
	n.deadlines.Stop(d.silenceLimit)
	n.counters.Add("operations taken")
	n.trace("taken", "id", opening.ID, "key", n.placementKey(opening), "group", opening.Group, "class", opening.Class,
		"wait", opening.Timeout, "returned", opening.Reconnecting, "mid", opening.MidFlow, "at", opening.HostID)
	request := n.policyRequest(opening)
	// Submit may start an attempt or answer before it returns the request's number; until then the request finds its
	// downstream by the downstream's own number.
	if opening.HostID != "" {
		n.counters.Add("operations handed over")
		d.request = n.table.SubmitToHost(now, d.id, request, opening.HostID)
		return
	}
	if opening.MidFlow {
		n.counters.Add("operations mid-flow")
	}
	d.request = n.table.Submit(now, d.id, request)
}

// policyRequest converts an OPEN line for the decision module.
func (n *Node) policyRequest(o line.OpenRequest) policy.Request {
	return policy.Request{ID: o.ID, Class: o.Class, Key: n.placementKey(o), HasKey: true, TTL: max(o.Timeout-answerMargin, 0),
		MidFlow: o.MidFlow, Reconnecting: o.Reconnecting, Tenant: o.Carrier}
}

// placementKey is the key by which a request is placed: the key of its group if groups are turned on, else its own.
func (n *Node) placementKey(o line.OpenRequest) uint64 {
	if n.cfg.Settings.KeyByGroup && o.HasGroup {
		return o.Group
	}
	return o.Key
}
