package net

import (
	"syscall"
	"time"
)

// mostSilent is how long a front socket may go without a whole command, from when it came or was last answered.
// Danger: those that open by the hundred and say nothing, or drip, would keep the descriptors that clients need.
// They are owed an answer within 3 s. A true client may take 2 s to write its line.
const mostSilent = 2600 * time.Millisecond

// idler tells whether a front socket is to go before another one.
func (f *front) idler(other *front) bool {
	if mid, others := f.buffered() > 0, other.buffered() > 0; mid != others {
		return others
	}
	return f.since < other.since
}

// silent gives the client so long to say something; then it is told a last line, if any, and closed.
func (f *front) silent(now, most time.Duration, last string) {
	f.node.deadlines.Stop(f.limit)
	f.since = now
	f.limit = f.node.deadlines.Set(now+most, func(time.Duration) {
		if last != "" {
			f.node.count.Add("front sockets closed: silent")
			f.ending = true
			f.say(last)
		}
		f.node.end(f.conn, false)
	})
}

// say writes a line of our own.
func (f *front) say(text string) { f.node.write(f.conn, []byte(text)) }

// malformed answers what makes no sense with one error line.
func (f *front) malformed(now time.Duration, err error) {
	f.node.count.Add("lines refused: malformed")
	f.answer(now, "ERR "+err.Error()+"\r\n")
}

// answer says the last line to the client.
func (f *front) answer(now time.Duration, text string) {
	f.say(text)
	f.finish(now)
}

const lingering = time.Second

// finish ends our sending; the client's end closes the socket. Danger: closing at once, with a line of the
// client's unread, would reset the connection, and our last line might never be seen.
func (f *front) finish(now time.Duration) {
	f.ending = true
	if f.conn == nil || f.linger {
		return
	}
	f.linger = true
	if f.conn.OutboundBuffered() > 0 || syscall.Shutdown(f.conn.Fd(), syscall.SHUT_WR) != nil {
		f.node.end(f.conn, false)
		return
	}
	f.silent(now, lingering, "")
}
