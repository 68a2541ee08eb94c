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
		if d.halfClosed = newHalfClosed(d.node, d.conn); d.halfClosed == nil { // no descriptor: its last lines cannot reach it
			d.node.counters.Add("clients moved")
			d.writeLine(moveLine)
		}
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
	switch u := d.upstream; {
	case u == nil || !u.up:
		d.node.counters.Add("clients gone before their answer")
		d.node.table.ClientLeft(now, d.request)
	case d.awaitsLastLines():
		d.node.counters.Add("clients that ended their sending")
		if u.conn != nil { // else it is still being enrolled, or is about to be reported as closed
			d.finishSending(now)
		}
	default:
		d.node.counters.Add("clients gone from standing connections")
		u.close(now, reset, policy.Cancelled)
	}
}

// finishSending passes on what the client sent before it ended its sending, and that end.
func (d *downstream) finishSending(now time.Duration) {
	u := d.upstream
	d.relay(now)
	d.node.deadlines.Stop(u.answerCheck)
	u.endSendingWhenFlushed(now, now+d.node.lineTimeout)
}

// endSendingWhenFlushed passes the end of the client's sending on to the desk host once all that is buffered for it is
// written, and gives it lingerTimeout for its last lines. The client is moved if the desk host has not read everything by
// latest, or is silent.
func (u *upstream) endSendingWhenFlushed(now, latest time.Duration) {
	switch {
	case u.ended || u.conn == nil:
	case u.conn.OutboundBuffered() == 0:
		_ = syscall.Shutdown(u.conn.Fd(), syscall.SHUT_WR) // fails only if the loop is about to report the connection's end
		u.node.deadlines.Set(now+lingerTimeout, func(now time.Duration) { u.moveClient(now, false, policy.Cancelled) })
	case now >= latest:
		u.moveClient(now, false, policy.Cancelled)
	default:
		u.node.deadlines.Set(now+flushCheckInterval, func(now time.Duration) { u.endSendingWhenFlushed(now, latest) })
	}
}
