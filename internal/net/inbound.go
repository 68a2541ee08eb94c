package net

import (
	"syscall"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"tealtiller/internal/line"
)

// inbound is the receiving side of a connection: what has come and is not used up, first of all what the process
// before us had read of it.
type inbound struct {
	conn gnet.Conn // nil once closed
	kept []byte
}

func (i *inbound) buffered() int {
	if i.conn == nil {
		return len(i.kept)
	}
	return len(i.kept) + i.conn.InboundBuffered()
}

func (i *inbound) peek() []byte {
	if i.conn == nil {
		return i.kept
	}
	buf, _ := i.conn.Peek(-1)
	if len(i.kept) == 0 {
		return buf
	}
	i.kept = append(i.kept, buf...)
	_, _ = i.conn.Discard(-1)
	return i.kept
}

func (i *inbound) discard(n int) {
	if len(i.kept) == 0 && i.conn != nil {
		_, _ = i.conn.Discard(n)
		return
	}
	if n < 0 {
		if i.conn != nil {
			_, _ = i.conn.Discard(n)
		}
		n = len(i.kept)
	}
	i.kept = i.kept[n:]
}

// end takes leave of the socket, of which what has come is kept. Danger: a write that fails ends it at once, and with it
// the peer's last lines that lie unread behind the reset.
func (i *inbound) end() {
	for range mostUnread {
		if !i.pull() {
			break
		}
	}
	i.kept = append([]byte(nil), i.peek()...)
	i.conn = nil
}

// pull takes in what has come and the loop has not read yet, two lines at the most, and tells whether there was any. The
// end of the connection is left to the loop, which hears of it by itself.
func (i *inbound) pull() (any bool) {
	buf := make([]byte, 2*line.MaxLength)
	n, err := uninterrupted(func() (int, error) { return syscall.Read(i.conn.Fd(), buf) })
	if err != nil || n <= 0 {
		return false
	}
	held := append([]byte(nil), i.peek()...)
	_, _ = i.conn.Discard(-1)
	i.kept = append(held, buf[:n]...)
	return true
}

// hungUp tells whether the other side has ended its sending or reset the connection, though the loop has not read so yet.
// Danger: behind bytes that are unread, or while the loop is busy, work would begin for one that is gone.
func (i *inbound) hungUp() bool { return i.is(unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR) }

// unread tells whether bytes, or the end, have come that the loop has not read yet.
func (i *inbound) unread() bool {
	return i.is(unix.POLLIN | unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR)
}

// is asks the kernel about the socket; one that is closed is all of it.
func (i *inbound) is(events int16) bool {
	if i.conn == nil {
		return true
	}
	fds := []unix.PollFd{{Fd: int32(i.conn.Fd()), Events: events}}
	n, err := uninterrupted(func() (int, error) { return unix.Poll(fds, 0) })
	return err == nil && n > 0 && fds[0].Revents&events != 0
}
