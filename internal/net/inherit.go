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

func (n *Node) inheritDownstream(now time.Duration, m handover.Message) []socket {
	d := newDownstream(n)
	d.kept = m.FromClient
	d.waited = min(time.Duration(m.Number)*time.Millisecond, n.patience)
	return []socket{d}
}

// inheritStanding goes on with a connection that stands.
func (n *Node) inheritStanding(now time.Duration, m handover.Message) []socket {
	o, err := line.ParseOpenRequest(m.OpenLine)
	if err != nil {
		return nil
	}
	n.count.Add("operations taken over")
	d := newDownstream(n)
	d.opening, d.taken, d.kept = o, true, m.FromClient
	u := &upstream{node: n, downstream: d, server: m.Server, last: policy.Reset, cancel: func() {}, sent: true, up: true, upAt: now}
	u.kept = m.FromHost
	u.id = n.upstreams.Add(u)
	d.upstream = u
	n.delays.of(u.server).fresh = true
	d.request = n.table.Inherit(now, d.id, n.request(o), u.server)
	return []socket{d, u}
}

// pass passes a client's socket on to the process that leads, with the upstream one if a connection stands. What is
// owed an answer, or has bytes that could not be written yet, stays for now; the other's end is told nobody here.
func (d *downstream) passOn(now time.Duration) bool {
	n, u := d.node, d.upstream
	if n.link == nil || d.conn == nil || d.ending || d.conn.OutboundBuffered() > 0 {
		return false
	}
	kept := bytes.Clone(d.peek())
	switch {
	case !d.taken:
		silent := (now - d.since).Milliseconds()
		if !n.link.send(handover.Message{Kind: handover.KindIdleClient, Number: int(silent), FromClient: kept}, d.conn) {
			return false
		}
		n.count.Add("client connections passed on")
	case u != nil && u.up && u.conn != nil && u.conn.OutboundBuffered() == 0:
		m := handover.Message{Kind: handover.KindEstablished, Server: u.server, OpenLine: d.opening.Raw(), FromClient: kept,
			FromHost: bytes.Clone(u.peek())}
		if !n.link.send(m, d.conn, u.conn) {
			return false
		}
		n.count.Add("operations handed to the new process")
		d.ending = true
		u.drop(false)
		n.table.Release(now, d.request)
	default:
		return false
	}
	d.ending = true
	return true
}

// apprentice is how many descriptors the younger process has before it leads: its own needs, discovery, probes, a
// few clients on their way.
const apprentice = own + mostCallers + 12

// shareOut tells the younger process how many descriptors it may have; the rest is for us.
func (n *Node) shareOut(most int) {
	if n.cfg.MaxSockets > 0 && n.link.send(handover.Message{Kind: handover.KindDescriptorLimit, Number: most}) {
		n.share = n.cfg.MaxSockets - most
	}
}

// stepBack has the younger process lead, and hands over to it.
func (n *Node) stepBack() {
	if n.link == nil || !n.leading || !n.link.send(handover.Message{Kind: handover.KindActivate}) {
		return
	}
	n.log.Info("hands-over")
	n.leading = false
}

// handOver passes on what can be, and tells whether all is; then the listener has ended too.
func (n *Node) handOver(now time.Duration) bool {
	for _, d := range n.downstreams.All() {
		if d.passOn(now) {
			n.end(d.conn, false)
		}
	}
	if n.link != nil && n.link.elder {
		if needs := n.share - n.left() + apprentice; needs < n.share { // what has gone makes room there
			n.shareOut(n.cfg.MaxSockets - needs)
		}
	}
	if n.downstreams.Len() > 0 || n.table.Len() > 0 {
		return false
	}
	if n.closingSince == 0 { // those whose connection has begun are still accepted; who asks again finds the other process
		n.closingSince = now
		n.admitHandshakes(false)
	}
	return now-n.closingSince >= drainCheck && n.shut()
}

// shut ends the listener if nobody waits there. Danger: ending it resets those that do, so nothing may come between
// the question and the end, not even our report.
func (n *Node) shut() bool {
	fd, err := n.engine.DupListener("tcp", n.cfg.ListenAddr)
	if err != nil {
		return !failedHere(err) // else it has ended already
	}
	defer syscall.Close(fd)
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && info.Unacked > 0 { // of a listener: the length of its queue
		return false
	}
	_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	return true
}
