package net

import (
	"syscall"
	"time"
)

// There is one way to close a client's side: what lies unread is read first, and a request in it is taken; then the last
// line is said, our sending ends, what still comes is thrown away, and the socket closes with the client's end, or after a
// while. Danger: a close over unread bytes resets the connection: the request in them, or our last line, is lost with it.

// mostSilent is how long a downstream socket may go without a whole command, from when it came or was last answered.
// Danger: those that open by the hundred and say nothing, or drip, would keep the descriptors that clients need.
// They are owed an answer within 3 s. A true client may take 2 s to write its line.
const mostSilent = 2600 * time.Millisecond

// noRequest is said to those who rest or drip. A request that crosses it is not sent on, and this is its answer.
const noRequest = "ERR no request in time\r\n"

// cancelled is said to a client that has ended its sending before its answer came. Nothing further is tried for it; but it may
// still read, and its request was taken.
const cancelled = "ERR ended before the answer\r\n"

// idler tells whether a downstream socket is to go before another one.
func (d *downstream) idler(other *downstream) bool {
	if d.linger != other.linger { // it has had its last line
		return d.linger
	}
	if mid, others := d.buffered() > 0, other.buffered() > 0; mid != others {
		return others
	}
	return d.since < other.since
}

// silent gives the client so long to say something; then its side is closed, with a last line.
func (d *downstream) silent(now, most time.Duration, last string) {
	d.node.deadlines.Stop(d.limit)
	d.since = now
	d.limit = d.node.deadlines.Set(now+most, func(now time.Duration) {
		d.limit = nil
		if d.conclude(now, last) {
			d.node.count.Add("client connections closed: silent")
		}
	})
}

// conclude closes the side of a client that rests, with a last line, and tells whether it does: not where a command that
// lay unread goes on with it. Danger: a client may send its request in the very moment in which we close.
func (d *downstream) conclude(now time.Duration, last string) bool {
	if d.conn == nil || d.taken || d.ending {
		return false
	}
	if since := d.since; d.pull() {
		if d.traffic(now); d.conn == nil || d.taken || d.ending || d.since != since {
			return false
		}
	}
	d.answer(now, last)
	return true
}

// say writes a line of our own.
func (d *downstream) say(text string) { d.node.write(d.conn, []byte(text)) }

// malformed answers what makes no sense with one error line.
func (d *downstream) malformed(now time.Duration, err error) {
	d.node.count.Add("lines refused: malformed")
	d.answer(now, "ERR "+err.Error()+"\r\n")
}

// answer says the last line to the client.
func (d *downstream) answer(now time.Duration, text string) {
	d.say(text)
	d.finish(now)
}

// lingering is how long a client has to end its side once ours has ended, and to read what it left in our buffer.
const lingering = time.Second

// finish ends our sending; the client's end closes the socket.
func (d *downstream) finish(now time.Duration) {
	d.ending = true
	if d.conn == nil || d.linger {
		return
	}
	d.linger, d.since = true, now
	d.node.deadlines.Stop(d.limit)
	d.limit = d.node.deadlines.Set(now+lingering, func(time.Duration) { d.release() })
	d.flush(now)
}

// flush ends our sending once all is written. Danger: gnet tries one write more when it closes; what then still lies in its
// buffer, the last line with it, is lost.
func (d *downstream) flush(now time.Duration) {
	switch {
	case d.conn == nil:
	case d.conn.OutboundBuffered() > 0:
		d.node.deadlines.Set(now+flushCheck, d.flush)
	case syscall.Shutdown(d.conn.Fd(), syscall.SHUT_WR) != nil:
		d.release()
	}
}

// release closes the socket of a client that has had its last line. Danger: what came since must be read first.
func (d *downstream) release() {
	for range mostUnread {
		if d.conn == nil || !d.pull() {
			break
		}
		d.discard(-1)
	}
	d.node.end(d.conn, false)
}

const flushCheck = 10 * time.Millisecond

// mostUnread is how often a socket is read before it is closed: a client that floods us ends by a reset.
const mostUnread = 16
