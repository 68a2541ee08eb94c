package net

import (
	"syscall"
	"time"

	"tealtiller/policy"
)

// This file holds how the client's side of a request ends: closed or reset by the client, moved, or with its sending
// ended only, in which case its desk host may still have lines for it.

// moveLine asks a client to reconnect. Only complete lines are ever forwarded, so it cannot split one.
const moveLine = "MOVE\r\n"

// sendMove tells the client to reconnect, and closes its side.
func (d *downstream) sendMove(now time.Duration) {
	d.node.counters.Add("clients moved")
	if d.halfClosed != nil {
		_ = d.halfClosed.write([]byte(moveLine))
		d.halfClosed.close(false) // even if the desk host's side is reset: a reset could destroy the line
		return
	}
	d.sendLastLine(now, moveLine)
}

// awaitsLastLines reports whether the client has ended its sending, and only waits for the desk host's last lines.
func (d *downstream) awaitsLastLines() bool { return d.halfClosed != nil }

func (d *downstream) detach(reset bool) {
	switch established := d.upstream != nil && d.upstream.up; {
	case reset || d.closing:
	case established:
		d.halfClosed = newHalfClosed(d.node, d.conn)
	case d.openReceived:
		d.writeLine(cancelledLine)
	}
	d.conn = nil
}

func (d *downstream) closed(now time.Duration, reset bool) {
	defer d.node.downstreams.Remove(d.id) // last: running attempts find it by its number
	d.node.deadlines.Stop(d.silenceLimit)
	if !d.openReceived || d.closing {
		d.halfClosed.close(reset)
		return
	}
	d.closing = true
	if u := d.upstream; d.halfClosed != nil && u != nil && u.conn != nil && u.conn.OutboundBuffered() == 0 &&
		syscall.Shutdown(u.conn.Fd(), syscall.SHUT_WR) == nil {
		d.node.counters.Add("clients that ended their sending")
		d.node.deadlines.Stop(u.answerCheck)
		d.node.deadlines.Set(now+lingerTimeout, func(now time.Duration) { u.moveClient(now, false, policy.Cancelled) })
		return
	}
	d.halfClosed.close(reset)
	if u := d.upstream; u != nil && u.up {
		d.node.counters.Add("clients gone from standing connections")
		u.close(now, reset, policy.Cancelled)
		return
	}
	d.node.counters.Add("clients gone before their answer")
	d.node.table.ClientLeft(now, d.request)
}
