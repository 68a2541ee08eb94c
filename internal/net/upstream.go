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

// upstream is the socket of one attempt, and of the connection that it brought up.
type upstream struct {
	node       *Node
	id         slot.ID
	downstream *downstream
	server     string
	until      time.Duration
	cancel     context.CancelFunc // of the dialling
	inbound
	sent    bool // the first line is written
	up      bool
	upAt    time.Duration
	over    bool          // its outcome is told
	last    policy.Result // what its end will mean
	askedAt time.Duration // when the client's first line that is still unanswered went on
	byteAt  time.Duration // when the last bytes came
	silent  *deadline.Deadline
}

// opened sends the first line as it came, but for how long we wait.
func (u *upstream) opened(now time.Duration, c gnet.Conn) gnet.Action {
	u.cancel()
	u.conn = c
	if u.over {
		return gnet.Close
	}
	if u.up { // it stood in another process
		u.traffic(now)
		u.downstream.traffic(now)
		return gnet.None
	}
	if result, ok := u.writable(now); !ok {
		u.traceAttempt("attempt-not-written", "result", request.ResultNames[result], "unheard", u.node.watch.unheard(now))
		u.conn = nil // gnet closes it after this
		u.close(now, false, result)
		return gnet.Close
	}
	u.sent = true
	u.traceAttempt("attempt-sent", "revision", u.node.watch.status.revision, "unheard", u.node.watch.unheard(now))
	u.node.write(c, u.downstream.opening.Forward(u.until-now)) // whole: a line fits a new connection's buffer
	if u.conn != nil {
		u.node.count.Add("attempts written")
	}
	return gnet.None
}

// writable is asked just before the first line is written, as the connection took its time to come up; else it tells what
// came of the attempt.
func (u *upstream) writable(now time.Duration) (result policy.Result, ok bool) {
	return u.node.table.MayWrite(now, u.downstream.request, u.until, u.downstream.hungUp)
}

// traffic reads what the desk host answers, and passes on whole lines once the connection stands.
func (u *upstream) traffic(now time.Duration) {
	u.byteAt = now
	u.node.delays.of(u.server).heardAt = now
	for u.buffered() > 0 && !u.over {
		buf := u.peek()
		text, err := line.Next(buf)
		if err != nil {
			u.node.count.Add("desk hosts cut off: line too long")
			u.close(now, true, policy.Reset)
			return
		}
		if len(text) == 0 {
			return
		}
		if u.up {
			u.relay(now, buf)
			return
		}
		u.answered(now, text)
		if !u.over {
			u.discard(len(text))
		}
	}
}

// answered takes the answer to the first line.
func (u *upstream) answered(now time.Duration, text []byte) {
	kind, _ := line.Parse(text)
	switch kind {
	case line.Up:
		u.up, u.upAt = true, now
		u.node.delays.of(u.server).fresh = true
		u.node.count.Add("operations served")
		u.traceAttempt("attempt-up", "returned", u.downstream.opening.Returned, "mid", u.downstream.opening.MidFlow)
		u.node.zoneSaw(now, u.server, true)
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

// move sends the client of a standing connection away.
func (u *upstream) move(now time.Duration) {
	u.downstream.move(now)
	u.close(now, false, policy.Cancelled)
}

// move says MOVE to the client. Only whole lines are ever passed on, so it stands between two.
func (d *downstream) move(now time.Duration) {
	d.node.count.Add("clients moved")
	d.answer(now, "MOVE\r\n")
}

// drop ends the socket without telling any outcome.
func (u *upstream) drop(reset bool) {
	u.over = true
	u.cancel()
	u.node.deadlines.Stop(u.silent)
	u.node.upstreams.Remove(u.id)
	if u.downstream.upstream == u {
		u.downstream.upstream = nil
		u.downstream.half.close(reset)
	}
	u.node.end(u.conn, reset)
}

// close ends the socket and tells the outcome.
func (u *upstream) close(now time.Duration, reset bool, result policy.Result) {
	if !u.over {
		u.traceAttempt("attempt-ended", "stood", u.up, "result", request.ResultNames[result], "after", now-u.upAt)
		if !u.up && (result == policy.Timeout || result == policy.ConnectFailed || result == policy.Reset || result == policy.Error) {
			u.node.zoneSaw(now, u.server, false) // a full host that says BUSY is no sign of a broken zone
		}
		u.drop(reset)
		u.node.table.AttemptEnded(now, u.downstream.request, result)
	}
}

func (u *upstream) detach(bool) {
	if u.over {
		u.conn = nil
		return
	}
	u.end()
}

// closed takes the end of the connection, or that it never came up.
func (u *upstream) closed(now time.Duration, reset bool) {
	if !u.over && u.buffered() > 0 { // its last lines, if a write failed before they were read
		u.traffic(now)
	}
	if u.over {
		return
	}
	result := u.last
	if !u.sent {
		result = policy.ConnectFailed
	}
	if u.up { // the client's side ends in the same way
		u.downstream.half.close(reset)
		u.node.count.Add("standing connections ended by desk hosts")
		if reset {
			u.downstream.ending = true
			u.node.end(u.downstream.conn, true)
		} else {
			u.downstream.finish(now)
		}
	}
	u.close(now, false, result)
	if u.up && reset {
		u.node.delays.shed(u.node, now, u.server)
	}
}
