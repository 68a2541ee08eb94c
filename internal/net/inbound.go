package net

import (
	"syscall"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"tealtiller/internal/line"
)

// inbound is the receiving side of a connection. Data that was read outside the event loop, or by the process before
// this one, is kept in pending, ahead of gnet's buffer.
type inbound struct {
	conn    gnet.Conn // nil once closed
	pending []byte
}

func (i *inbound) buffered() int {
	if i.conn == nil {
		return len(i.pending)
	}
	return len(i.pending) + i.conn.InboundBuffered()
}

func (i *inbound) peek() []byte {
	if i.conn == nil {
		return i.pending
	}
	buf, _ := i.conn.Peek(-1)
	if len(i.pending) == 0 {
		return buf
	}
	i.pending = append(i.pending, buf...)
	_, _ = i.conn.Discard(-1)
	return i.pending
}

// discard drops the first n bytes, or everything for a negative n.
func (i *inbound) discard(n int) {
	if len(i.pending) == 0 && i.conn != nil {
		_, _ = i.conn.Discard(n)
		return
	}
	if n < 0 {
		if i.conn != nil {
			_, _ = i.conn.Discard(n)
		}
		n = len(i.pending)
	}
	if i.pending = i.pending[n:]; len(i.pending) == 0 {
		i.pending = nil // releases the memory
	}
}

// keepUnread takes over what the event has left unread, such as the beginning of a line. gnet would keep it in a ring
// buffer and copy it anew for each look at it, which takes several times the memory.
func (i *inbound) keepUnread() {
	if i.conn == nil || i.conn.InboundBuffered() == 0 {
		return
	}
	unread, _ := i.conn.Peek(-1)
	i.pending = append(i.pending, unread...)
	_, _ = i.conn.Discard(-1)
}

// detachConn lets go of a connection that gnet closes, and keeps the data received so far. A failed write makes gnet
// close the connection at once; without the final reads, the last lines that the peer sent before its reset would be
// lost.
func (i *inbound) detachConn() {
	for range maxFinalReads {
		if !i.readAvailable() {
			break
		}
	}
	i.pending = append([]byte(nil), i.peek()...)
	i.conn = nil
}

// readAvailable reads data that has arrived but was not read by the loop yet, up to two lines of maximum length, and
// reports whether there was any. The end of the connection is left to the loop, which notices it by itself.
func (i *inbound) readAvailable() bool {
	buf := make([]byte, 2*line.MaxLength)
	n, err := retryOnEINTR(func() (int, error) { return syscall.Read(i.conn.Fd(), buf) })
	if err != nil || n <= 0 {
		return false
	}
	held := append([]byte(nil), i.peek()...)
	_, _ = i.conn.Discard(-1)
	i.pending = append(held, buf[:n]...)
	return true
}

// peerClosed reports whether the peer has ended its sending or reset the connection, even if the loop has not noticed
// yet: unread data may precede the end, or the loop may be busy. Without this check, work would begin for a peer that
// has left.
func (i *inbound) peerClosed() bool { return i.poll(unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR) }

// hasUnread reports whether data or the end of the connection has arrived that the loop has not read yet.
func (i *inbound) hasUnread() bool {
	return i.poll(unix.POLLIN | unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR)
}

// poll asks the kernel whether any of the events is pending. On a closed connection all of them are.
func (i *inbound) poll(events int16) bool {
	if i.conn == nil {
		return true
	}
	fds := []unix.PollFd{{Fd: int32(i.conn.Fd()), Events: events}}
	n, err := retryOnEINTR(func() (int, error) { return unix.Poll(fds, 0) })
	return err == nil && n > 0 && fds[0].Revents&events != 0
}
