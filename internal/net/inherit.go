package net

import (
	"time"

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
