package net

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"tealtiller/internal/deadline"
	"tealtiller/internal/line"
	"tealtiller/internal/request"
	"tealtiller/internal/slot"
	"tealtiller/policy"
)

// upstream is the socket of one attempt, and of the connection that the attempt establishes.
type upstream struct {
	node            *Node
	id              slot.ID
	downstream      *downstream
	server          string
	attemptDeadline time.Duration
	cancel          context.CancelFunc // cancels the dial
	inbound
	sent            bool // the OPEN line was written
	up              bool
	upAt            time.Duration
	ended           bool          // the outcome was reported
	endedByReset    bool          // the desk host's side ends by a reset
	endResult       policy.Result // outcome if the connection ends now
	unansweredSince time.Duration // when the oldest unanswered client line was forwarded; 0 if none
	lastReadAt      time.Duration // when data last arrived
	answerCheck     *deadline.Deadline
}

// opened forwards the OPEN line, with the time left for this attempt as its deadline.
func (u *upstream) opened(now time.Duration, c gnet.Conn) gnet.Action {
	u.cancel()
	u.conn = c
	if u.ended {
		if u.endedByReset {
			_ = c.SetLinger(0)
		}
		return gnet.Close
	}
	if u.up { // inherited from another process
		u.inheritedOpened(now)
		return gnet.None
	}
	if result, ok := u.writable(now); !ok {
		u.traceAttempt("attempt-not-written", "result", request.ResultNames[result], "unheard", u.node.watch.sinceAnswer(now))
		u.conn = nil // gnet closes it when opened returns
		u.close(now, false, result)
		return gnet.Close
	}
	u.sent = true
	u.traceAttempt("attempt-sent", "revision", u.node.watch.status.revision, "unheard", u.node.watch.sinceAnswer(now))
	// The line is written completely, since it fits the send buffer of a new connection.
	u.node.write(c, u.downstream.opening.Forward(u.attemptDeadline-now))
	if u.conn != nil {
		u.node.counters.Add("attempts written")
	}
	return gnet.None
}

// inheritedOpened relays what arrived on both sides before this socket was on the loop.
func (u *upstream) inheritedOpened(now time.Duration) {
	if u.buffered() > 0 {
		u.traffic(now)
	}
	switch d := u.downstream; {
	case u.ended:
	case d.awaitsLastLines():
		d.finishSending(now)
	default:
		d.traffic(now)
	}
}

// writable is called just before the OPEN line is written, since the dial took time. If the line must not be written
// any more, it returns the result of the attempt.
func (u *upstream) writable(now time.Duration) (result policy.Result, ok bool) {
	return u.node.table.MayWrite(now, u.downstream.request, u.attemptDeadline, u.downstream.peerClosed)
}

// traffic reads the desk host's answer, and forwards complete lines once the connection is established.
func (u *upstream) traffic(now time.Duration) {
	u.lastReadAt = now
	u.node.delays.host(u.server).lastReadAt = now
	for u.buffered() > 0 && !u.ended {
		buf := u.peek()
		text, err := line.Next(buf)
		if err != nil {
			u.cutOff(now, err)
			return
		}
		if len(text) == 0 {
			return
		}
		if u.up {
			u.relay(now, buf)
			continue
		}
		u.handleAnswer(now, text)
		if !u.ended {
			u.discard(len(text))
		}
	}
}

// cutOff resets a connection whose desk host sent invalid data. Before UP the module goes on with the request; an
// established connection cannot continue, so its client is moved.
func (u *upstream) cutOff(now time.Duration, reason error) {
	u.node.counters.Add("desk hosts cut off: line too long")
	u.node.log.Warn("desk-host-cut-off", "host", u.server, "established", u.up, "reason", reason)
	if u.up {
		u.moveClient(now, true, policy.Reset)
		return
	}
	u.close(now, true, policy.Reset)
}

// handleAnswer handles the answer to OPEN.
func (u *upstream) handleAnswer(now time.Duration, text []byte) {
	kind, _ := line.Parse(text)
	switch kind {
	case line.Up:
		u.up, u.upAt = true, now
		u.node.delays.host(u.server).newConnections = true
		u.node.counters.Add("operations served")
		u.traceAttempt("attempt-up", "returned", u.downstream.opening.Reconnecting, "mid", u.downstream.opening.MidFlow)
		u.node.recordZoneOutcome(now, u.server, true)
		u.node.write(u.downstream.conn, text)
		u.node.table.Established(now, u.downstream.request)
		u.downstream.traffic(now)
	case line.Busy:
		u.close(now, false, policy.Rejected)
	case line.Move:
		u.close(now, false, policy.Cancelled)
	default:
		u.close(now, false, policy.Error)
	}
}

// moveClient moves the client of an established connection to another host, unless the connection has ended. The desk
// host's side is reset if it is at fault.
func (u *upstream) moveClient(now time.Duration, reset bool, result policy.Result) {
	if u.ended {
		return
	}
	u.downstream.sendMove(now)
	u.close(now, reset, result)
}

// abort closes the socket without reporting an outcome.
func (u *upstream) abort(reset bool) {
	u.ended, u.endedByReset = true, reset
	u.cancel()
	u.node.deadlines.Stop(u.answerCheck)
	u.node.upstreams.Remove(u.id)
	if u.downstream.upstream == u {
		u.downstream.upstream = nil
		u.downstream.halfClosed.close(reset)
	}
	u.node.closeConn(u.conn, reset)
}

// close closes the socket and reports the outcome.
func (u *upstream) close(now time.Duration, reset bool, result policy.Result) {
	if !u.ended {
		u.traceAttempt("attempt-ended", "stood", u.up, "result", request.ResultNames[result], "after", now-u.upAt)
		if !u.up && (result == policy.Timeout || result == policy.ConnectFailed || result == policy.Reset || result == policy.Error) {
			// BUSY is excluded: a full host is no sign of a zone failure.
			u.node.recordZoneOutcome(now, u.server, false)
		}
		u.abort(reset)
		u.node.table.AttemptEnded(now, u.downstream.request, result)
	}
}

func (u *upstream) detach(bool) {
	if u.ended {
		u.conn = nil
		return
	}
	u.detachConn()
}

// closed handles the end of the connection, or a failed dial.
func (u *upstream) closed(now time.Duration, reset bool) {
	if !u.ended && u.buffered() > 0 { // last lines that a failed write kept from being read
		u.traffic(now)
	}
	if u.ended {
		return
	}
	result := u.endResult
	if !u.sent {
		result = policy.ConnectFailed
	}
	if u.up { // close the client side in the same way
		u.downstream.halfClosed.close(reset)
		u.node.counters.Add("standing connections ended by desk hosts")
		if reset {
			u.downstream.closing = true
			u.node.closeConn(u.downstream.conn, true)
		} else {
			u.downstream.closeSending(now)
		}
	}
	u.close(now, false, result)
	if u.up && reset {
		u.node.delays.connectionDropped(u.node, now, u.server)
	}
}
