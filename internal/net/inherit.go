package net

import (
	"bytes"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tealtiller/internal/handover"
	"tealtiller/internal/line"
	"tealtiller/policy"
)

// inheritDownstream takes over a client connection without an open request.
func (n *Node) inheritDownstream(now time.Duration, m handover.Message) []socket {
	d := newDownstream(n)
	d.pending = m.FromClient
	d.silentBefore = min(time.Duration(m.Number)*time.Millisecond, n.commandTimeout)
	return []socket{d}
}

// inheritEstablished takes over an established connection with both of its sockets.
func (n *Node) inheritEstablished(now time.Duration, m handover.Message) []socket {
	o, err := line.ParseOpenRequest(m.OpenLine)
	if err != nil {
		return nil
	}
	n.counters.Add("operations taken over")
	d := newDownstream(n)
	d.opening, d.openReceived, d.pending, d.enrolling = o, true, m.FromClient, true
	u := &upstream{node: n, downstream: d, server: m.Server, endResult: policy.Reset, cancel: func() {}, sent: true, up: true, upAt: now}
	u.pending = m.FromHost
	u.id = n.upstreams.Add(u)
	d.upstream = u
	u.inheritUnanswered(now, time.Duration(m.Number)*time.Millisecond)
	n.delays.host(u.server).newConnections = true
	d.request = n.table.Inherit(now, d.id, n.policyRequest(o), u.server)
	return []socket{d, u}
}

// enrolled ends the connection if that was decided before its socket was on the loop.
func (d *downstream) enrolled(now time.Duration) {
	d.enrolling = false
	if !d.closing {
		return
	}
	d.writeLine(d.lastLine)
	d.closeSending(now)
}

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

// grantDescriptors allots descriptors to the younger process; the rest remains for this one.
func (n *Node) grantDescriptors(granted int) {
	if n.cfg.MaxSockets > 0 && n.link.send(handover.Message{Kind: handover.KindDescriptorLimit, Number: granted}) {
		n.descriptorShare = n.cfg.MaxSockets - granted
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

// handOverAll passes on all connections that it can, and reports whether all are passed on and the listener is closed.
func (n *Node) handOverAll(now time.Duration) bool {
	for _, d := range n.downstreams.All() {
		if d.passOn(now) {
			n.closeConn(d.conn, false)
		}
	}
	if n.link != nil && n.link.older {
		// Descriptors of connections that were passed on become available to the other process.
		if needs := n.descriptorShare - n.descriptorsLeft() + followerDescriptors; needs < n.descriptorShare {
			n.grantDescriptors(n.cfg.MaxSockets - needs)
		}
	}
	if n.downstreams.Len() > 0 || n.table.Len() > 0 || n.awaitsLastLines() {
		return false
	}
	// Handshakes in progress are still accepted; a client that repeats its SYN reaches the other process.
	if n.closingSince == 0 {
		n.closingSince = now
		n.allowHandshakes(false)
	}
	return now-n.closingSince >= drainCheckInterval && n.closeListener()
}

// closeListener closes the listener unless connections are waiting to be accepted, and reports whether it is closed.
// Closing resets connections in the accept queue, so nothing, not even our log output, may come between the check and
// the close.
func (n *Node) closeListener() bool {
	fd, err := n.engine.DupListener("tcp", n.cfg.ListenAddr)
	if err != nil {
		return !isLocalFailure(err) // for any other error it is closed already
	}
	defer syscall.Close(fd)
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && info.Unacked > 0 { // for a listener: the length of its accept queue
		return false
	}
	_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	return true
}
