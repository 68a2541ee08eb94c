package net

import (
	"syscall"

	"github.com/panjf2000/gnet/v2"
)

// halfClosed is a client's socket on which the client has ended its sending, while ours is still open. gnet closes
// such a connection; a duplicate of the descriptor keeps the socket open for the desk host's remaining lines.
type halfClosed struct {
	node *Node
	fd   int
}

func newHalfClosed(n *Node, c gnet.Conn) *halfClosed {
	fd, err := c.Dup()
	if err != nil {
		return nil
	}
	n.halfClosed++
	return &halfClosed{n, fd}
}

// write reports whether all data was written. It does not wait for a client that does not read.
func (h *halfClosed) write(data []byte) bool {
	return writeAll(data, func(rest []byte) (int, error) { return syscall.Write(h.fd, rest) })
}

// close closes the socket once. A nil receiver is allowed.
func (h *halfClosed) close(reset bool) {
	if h == nil || h.fd < 0 {
		return
	}
	if reset {
		_ = syscall.SetsockoptLinger(h.fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	_ = syscall.Close(h.fd)
	h.node.halfClosed--
	h.fd = -1
}
