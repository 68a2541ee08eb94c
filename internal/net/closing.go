package net

import (
	"syscall"
	"time"
)

// All client connections are closed in the same way: unread data is read first, and a request in it is handled; then
// the last line is written, sending is shut down, further input is discarded, and the socket is closed when the client
// closes its side, or after lingerTimeout. Closing a socket with unread data would reset the connection, and the
// request in it or our last line would be lost.

// defaultCommandTimeout is how long a downstream socket may go without a complete command after it connected or was
// last answered. Without it, hundreds of connections that send nothing, or send slowly, would hold the descriptors
// that clients need. Such connections must be answered within 3 s, and a genuine client may take 2 s to write its
// line.
const defaultCommandTimeout = 2600 * time.Millisecond

// noRequestLine is the last line for idle or slow clients. It is also the answer to a request that crosses it, which
// is not forwarded.
const noRequestLine = "ERR no request in time\r\n"

// cancelledLine is the last line for a client that ended its sending before its answer. No further attempt is made for
// it, but its request was accepted and it may still read.
const cancelledLine = "ERR ended before the answer\r\n"

// closesBefore reports whether d is closed in preference to other when descriptors are short.
func (d *downstream) closesBefore(other *downstream) bool {
	if d.lingering != other.lingering { // its last line was written
		return d.lingering
	}
	if midLine, otherMidLine := d.buffered() > 0, other.buffered() > 0; midLine != otherMidLine {
		return otherMidLine
	}
	return d.silentSince < other.silentSince
}

// limitSilence closes the connection with lastLine unless the client sends a complete command within the limit.
func (d *downstream) limitSilence(now, limit time.Duration, lastLine string) {
	d.node.deadlines.Stop(d.silenceLimit)
	d.silentSince = now
	d.silenceLimit = d.node.deadlines.Set(now+limit, func(now time.Duration) {
		d.silenceLimit = nil
		if d.closeIdle(now, lastLine) {
			d.node.counters.Add("client connections closed: silent")
		}
	})
}

// closeIdle closes the connection of an idle client with lastLine, and reports whether it did. It does not if unread
// data turns out to be a command: a client may send its request at the moment of the close.
func (d *downstream) closeIdle(now time.Duration, lastLine string) bool {
	if d.conn == nil || d.openReceived || d.closing {
		return false
	}
	if since := d.silentSince; d.readAvailable() {
		if d.traffic(now); d.conn == nil || d.openReceived || d.closing || d.silentSince != since {
			return false
		}
	}
	d.sendLastLine(now, lastLine)
	return true
}

// writeLine writes a line of the balancer's own.
func (d *downstream) writeLine(text string) { d.node.write(d.conn, []byte(text)) }

// rejectMalformed answers invalid input with an error line and closes the connection.
func (d *downstream) rejectMalformed(now time.Duration, err error) {
	d.node.counters.Add("lines refused: malformed")
	d.sendLastLine(now, "ERR "+err.Error()+"\r\n")
}

// sendLastLine writes the last line and closes the connection.
func (d *downstream) sendLastLine(now time.Duration, text string) {
	if d.enrolling {
		d.lastLine = text
	}
	d.writeLine(text)
	d.closeSending(now)
}

// lingerTimeout is how long a client has to read the buffered output and close its side after sending was shut down.
const lingerTimeout = time.Second

// closeSending ends our sending; the socket is closed when the client closes its side.
func (d *downstream) closeSending(now time.Duration) {
	d.closing = true
	if d.conn == nil || d.lingering {
		return
	}
	d.lingering, d.silentSince = true, now
	d.node.deadlines.Stop(d.silenceLimit)
	d.silenceLimit = d.node.deadlines.Set(now+lingerTimeout, func(time.Duration) { d.closeConn() })
	d.shutdownWhenFlushed(now)
}

// shutdownWhenFlushed shuts down sending once all output is written. On close gnet makes only one more attempt to
// write; what is left in its buffer after that, including the last line, would be lost.
func (d *downstream) shutdownWhenFlushed(now time.Duration) {
	switch {
	case d.conn == nil:
	case d.conn.OutboundBuffered() > 0:
		d.node.deadlines.Set(now+flushCheckInterval, d.shutdownWhenFlushed)
	case syscall.Shutdown(d.conn.Fd(), syscall.SHUT_WR) != nil:
		d.closeConn()
	}
}

// closeConn closes the socket of a client after its last line. Unread input is read first, since it would turn the
// close into a reset.
func (d *downstream) closeConn() {
	for range maxFinalReads {
		if d.conn == nil || !d.readAvailable() {
			break
		}
		d.discard(-1)
	}
	d.node.closeConn(d.conn, false)
}

const flushCheckInterval = 10 * time.Millisecond

// maxFinalReads is how often a socket is read before it is closed. A client that keeps sending is reset.
const maxFinalReads = 16
