package net

import (
	"math"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"tealtiller/internal/line"
)

// closeConn closes a connection, by a reset if the peer's side ended that way.
func (n *Node) closeConn(c gnet.Conn, reset bool) {
	if c == nil {
		return
	}
	if reset {
		_ = c.SetLinger(0)
	}
	_ = n.loop.Close(c)
}

// reservedDescriptors are used for neither downstream nor upstream sockets: the standard streams, pollers, listeners,
// discovery, a configuration being read. Connections to the second address are counted separately.
const reservedDescriptors = 24

// makeRoom ensures that more descriptors can be opened, and reports whether that is so. When descriptors are short,
// downstream sockets without a complete request are closed before any client with a request is refused: first those
// that had their last line, then those not in the middle of a line, then the others; within each group, the one that
// has been silent for longest.
//
// So that the count is right, connections are accepted on the event loop, one at a time. gnet's separate acceptor would
// accept hundreds before the loop counts them, and would shut the engine down when accept finds no descriptor; on the
// loop, gnet as changed in third_party only pauses the listener (accept_failure.go).
func (n *Node) makeRoom(more int) bool {
	return n.makeRoomAmong(more, func(d *downstream) bool { return !d.openReceived && !d.closing || d.lingering })
}

// makeRoomFromIdle is makeRoom for use during a call of the decision module. Unread data on a downstream socket may be
// a request, which must not be handled then; so only sockets without any are closed.
func (n *Node) makeRoomFromIdle(more int) bool {
	return n.makeRoomAmong(more, func(d *downstream) bool { return d.lingering || !d.openReceived && !d.closing && !d.hasUnread() })
}

// makeRoomAmong closes downstream sockets that mayClose accepts, in the order described at makeRoom.
func (n *Node) makeRoomAmong(more int, mayClose func(*downstream) bool) bool {
	for n.descriptorsLimited() && n.descriptorsLeft() < more {
		var silent *downstream
		for _, d := range n.downstreams.All() {
			if d.conn != nil && mayClose(d) && (silent == nil || d.closesBefore(silent)) {
				silent = d
			}
		}
		if silent == nil {
			return false
		}
		if silent.lingering || silent.closeIdle(n.now(), noRequestLine) { // otherwise a request was read
			n.counters.Add("client connections closed: silent, descriptors short")
			silent.closeConn()
		}
	}
	return true
}

// processDescriptorLimit is the system's descriptor limit for this process, or 0 if unknown. The configured limit may
// be higher or missing; without this one, accept, socket and dup would fail before any idle client is closed.
func processDescriptorLimit() int {
	var limits unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limits); err != nil {
		return 0
	}
	return int(min(limits.Cur, math.MaxInt32))
}

// descriptorsLimited reports whether the configuration or the system limits descriptors.
func (n *Node) descriptorsLimited() bool { return n.cfg.MaxSockets > 0 || n.processDescriptorLimit > 0 }

// descriptorsLeft is how many more descriptors may be opened; negative while reserved ones are in use.
func (n *Node) descriptorsLeft() int {
	limit := n.cfg.MaxSockets
	if n.link != nil {
		limit = n.descriptorShare
	}
	if n.cfg.MaxSockets <= 0 || n.processDescriptorLimit > 0 && n.processDescriptorLimit < limit {
		limit = n.processDescriptorLimit
	}
	if n.adminAddress != "" {
		limit -= maxAdminConns
	}
	return limit - reservedDescriptors - n.connections - 2*n.dialling - n.duplicates - n.halfClosed
}

// maxBuffered limits the data buffered for a peer that does not read, or received from one that has to wait: a quarter
// of the memory limit divided by the number of sockets, but at least two lines of maximum length.
func (n *Node) maxBuffered() int {
	if n.cfg.MemoryLimitMB <= 0 || n.cfg.MaxSockets <= 0 {
		return maxBufferedBytes
	}
	return min(max(int(n.cfg.MemoryLimitMB<<20)/4/n.cfg.MaxSockets, 2*line.MaxLength), maxBufferedBytes)
}

// maxBufferedBytes is the upper limit of maxBuffered, and applies where memory or sockets are not limited.
const maxBufferedBytes = 256 << 10

// write sends data on a connection. A connection whose peer does not read is reset.
func (n *Node) write(c gnet.Conn, data []byte) {
	if c != nil && n.overflows(c, data) {
		n.closeConn(c, true)
	}
}

// overflows sends data on a connection, and reports whether too much is buffered now, as its peer does not read.
func (n *Node) overflows(c gnet.Conn, data []byte) bool {
	if _, err := c.Write(data); err != nil {
		return false // gnet closes the connection and calls OnClose
	}
	if c.OutboundBuffered() <= n.maxBuffered() {
		return false
	}
	n.counters.Add("sockets ended: peer does not read")
	return true
}
