package net

import (
	"bytes"
	"time"

	"tealtiller/internal/handover"
)

// This file holds how a process passes its clients on to the other process of its balancer, and how it ends once it has.

// passOn passes a client's socket on to the leading process, together with the upstream socket if the connection is
// established. Connections with an unanswered request or with unwritten output stay for now. No outcome is reported
// for the upstream socket, since the connection continues in the other process.
func (d *downstream) passOn(now time.Duration) bool {
	n, u := d.node, d.upstream
	if n.link == nil || d.conn == nil || d.closing || d.conn.OutboundBuffered() > 0 {
		return false
	}
	unread := bytes.Clone(d.peek())
	switch {
	case !d.openReceived:
		silent := (now - d.silentSince).Milliseconds()
		if !n.link.send(handover.Message{Kind: handover.KindIdleClient, Number: int(silent), FromClient: unread}, d.conn) {
			return false
		}
		n.counters.Add("client connections passed on")
	case u != nil && u.up && u.conn != nil && u.conn.OutboundBuffered() == 0:
		m := handover.Message{Kind: handover.KindEstablished, Number: int(u.unansweredFor(now).Milliseconds()), Server: u.server,
			OpenLine: d.opening.Raw(), FromClient: unread, FromHost: bytes.Clone(u.peek())}
		if !n.link.send(m, d.conn, u.conn) {
			return false
		}
		n.counters.Add("operations handed to the new process")
		d.closing = true
		u.abort(false)
		n.table.Release(now, d.request)
	default:
		return false
	}
	d.closing = true
	return true
}

// followerDescriptors is how many descriptors the younger process gets before it leads: its reserved ones, connections
// to the second address, discovery, probes, and a few clients that are being passed on.
const followerDescriptors = reservedDescriptors + maxAdminConns + 12

// grantDescriptors allots descriptors to the younger process; the rest remains for this one. The first message also tells
// it that it was accepted, so it is sent without a limit too.
func (n *Node) grantDescriptors(granted int) {
	if n.link.send(handover.Message{Kind: handover.KindDescriptorLimit, Number: granted}) && n.cfg.MaxSockets > 0 {
		n.descriptorShare = n.cfg.MaxSockets - granted
	}
}

// releaseDescriptors allots the descriptors of connections that were passed on to the younger process.
func (n *Node) releaseDescriptors() {
	if n.link == nil || !n.link.older || n.cfg.MaxSockets <= 0 {
		return
	}
	if needs := n.descriptorShare - n.descriptorsLeft() + followerDescriptors; needs < n.descriptorShare {
		n.grantDescriptors(n.cfg.MaxSockets - needs)
	}
}

// yieldLead makes the younger process the leading one; connections are then handed over to it.
func (n *Node) yieldLead() {
	if n.link == nil || !n.leading || !n.link.send(handover.Message{Kind: handover.KindActivate, UsedIDs: n.table.UsedIDs(handover.MaxUsedIDs)}) {
		return
	}
	n.log.Info("hands-over")
	n.leading = false
}

// handoverFlushTime is how long after the drain deadline messages between the processes may still be written and read. It
// lies within the last checks of the drain (see beginClosing).
const handoverFlushTime = 2 * drainCheckInterval

// beginHandover starts handing over to the other process in a drain, if there is one. All is handed over by the drain
// deadline. A drain that goes on after its deadline, since packets pass through, gets a new one when a process joins.
func (n *Node) beginHandover(now time.Duration) {
	if n.link == nil {
		return
	}
	n.yieldLead()
	if now >= n.handoverDeadline {
		n.handoverDeadline = n.drainDeadline(now)
	}
	n.link.limitTo(n.handoverDeadline + handoverFlushTime - now)
}

// handOverAll passes on all connections that it can, and reports whether this process may end: when all are passed on
// and the listener is closed, or at the drain deadline, once the clients of what is left are answered or moved. From then
// on it ends even if the other process does.
func (n *Node) handOverAll(now time.Duration) bool {
	for _, d := range n.downstreams.All() {
		if d.passOn(now) {
			n.closeConn(d.conn, false)
		}
	}
	n.releaseDescriptors()
	if now >= n.handoverDeadline {
		n.dismissRemaining(now)
		return n.closeRemaining(now, n.handoverDeadline)
	}
	if n.downstreams.Len() > 0 || n.table.Len() > 0 || n.awaitsLastLines() {
		return false
	}
	// Handshakes in progress are still accepted; a client that repeats its SYN reaches the other process.
	n.beginClosing(now, n.handoverDeadline)
	return now-n.closingSince >= drainCheckInterval && n.closeListener()
}

// dismissRemaining answers and moves the clients that could not be handed over by the drain deadline, because the
// process may be killed at any moment from now on: requests that desk hosts have not answered, connections with output
// that a peer does not read or that wait for last lines, and clients that the other process does not take.
func (n *Node) dismissRemaining(now time.Duration) {
	n.handoverDeadlinePassed = true
	unanswered, moved := n.table.Unanswered(), n.establishedCount()
	if unanswered+moved > 0 {
		n.log.Warn("not-handed-over", "unanswered", unanswered, "moved", moved)
	}
	n.moveEstablished(now, true)
	n.failUnanswered(now)
}

// establishedCount returns how many established connections this process holds.
func (n *Node) establishedCount() (count int) {
	for _, u := range n.upstreams.All() {
		if u.up {
			count++
		}
	}
	return count
}
